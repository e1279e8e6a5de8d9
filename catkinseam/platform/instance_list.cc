// Adapter of the instance list's HTTP form.
#include "catkinseam/platform/instance_list.h"

#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/json.h"

namespace catkinseam {

namespace {

class HttpInstanceList final : public InstanceList {
public:
  explicit HttpInstanceList(const Endpoint &Where) : m_where(Where) {}

  Result<std::vector<Instance>> fetch(Duration Timeout) override {
    HttpRequest Request;
    Request.m_path = "/instances";
    const CallResult Answer = m_client.call(m_where, Request, Timeout);
    if (!Answer.m_response || Answer.m_response->m_status != 200)
      return makeError(ErrorCode::Unavailable,
                       "instance list cannot be had: " + Answer.m_reason);
    BOOST_LEAF_AUTO(Body, parseJsonObject(Answer.m_response->m_body));
    std::vector<Instance> Found;
    const JsonArray Items = jsonArray(Body, "instances");
    for (std::size_t Index = 0; Index < Items->size(); ++Index)
      readOne(Items->getObject(static_cast<unsigned>(Index)), Found);
    return Found;
  }

private:
  static void readOne(const JsonObject &Item, std::vector<Instance> &Found) {
    if (Item.isNull())
      return;
    Outcome<Endpoint> Service =
        attempt([&] { return parseEndpoint(jsonText(Item, "service")); });
    Outcome<Endpoint> Tasks =
        attempt([&] { return parseEndpoint(jsonText(Item, "tasks")); });
    const std::string Name = jsonText(Item, "name");
    if (!Service || !Tasks || Name.empty())
      return;
    Found.push_back({Name, Service.value(), Tasks.value(),
                     jsonText(Item, "state") == "leaving"});
  }

  Endpoint m_where;
  HttpClient m_client;
};

} // namespace

std::unique_ptr<InstanceList> makeHttpInstanceList(const Endpoint &Where) {
  return std::make_unique<HttpInstanceList>(Where);
}

} // namespace catkinseam
