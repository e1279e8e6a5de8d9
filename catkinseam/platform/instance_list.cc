// HTTP client for the instance list.
#include "catkinseam/platform/instance_list.h"

#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/json.h"

namespace catkinseam {

namespace {

class HttpInstanceList final : public InstanceList {
public:
  explicit HttpInstanceList(const Endpoint &Server) : m_server(Server) {}

  Result<std::vector<Instance>> fetch(Duration Timeout) override {
    HttpRequest Request;
    Request.m_path = "/instances";
    const CallResult Response = m_client.call(m_server, Request, Timeout);
    if (!Response.m_response || Response.m_response->m_status != 200)
      return makeError(ErrorCode::Unavailable,
                       "cannot fetch the instance list: " + Response.m_reason);
    BOOST_LEAF_AUTO(Body, parseJsonObject(Response.m_response->m_body));
    std::vector<Instance> Instances;
    const JsonArray Items = jsonArray(Body, "instances");
    for (std::size_t Index = 0; Index < Items->size(); ++Index)
      appendInstance(Items->getObject(static_cast<unsigned>(Index)), Instances);
    return Instances;
  }

private:
  static void appendInstance(const JsonObject &Item,
                             std::vector<Instance> &Instances) {
    if (Item.isNull())
      return;
    Outcome<Endpoint> Service =
        attempt([&] { return parseEndpoint(jsonString(Item, "service")); });
    Outcome<Endpoint> Tasks =
        attempt([&] { return parseEndpoint(jsonString(Item, "tasks")); });
    const std::string Name = jsonString(Item, "name");
    if (!Service || !Tasks || Name.empty())
      return;
    Instances.push_back({Name, Service.value(), Tasks.value(),
                         jsonString(Item, "state") == "leaving"});
  }

  Endpoint m_server;
  HttpClient m_client;
};

} // namespace

std::unique_ptr<InstanceList> makeHttpInstanceList(const Endpoint &Server) {
  return std::make_unique<HttpInstanceList>(Server);
}

} // namespace catkinseam
