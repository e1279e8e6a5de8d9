// Parses faults.
#include "standin/fault_injection.h"

#include "standin/node_platform.h"

namespace catkinseam {

namespace {

auto unknown(const std::string &Name) {
  return makeError(ErrorCode::Invalid,
                   "member \"" + Name + "\" is unknown or missing");
}

Result<Milliseconds> time(const JsonValue &Body, const char *Name,
                          Milliseconds Default = Milliseconds::zero()) {
  if (!findMember(Body, Name))
    return Default;
  BOOST_LEAF_AUTO(Count, integerMember(Body, Name));
  return Milliseconds(Count);
}

Result<double> share(const JsonValue &Body) {
  if (!findMember(Body, "share"))
    return 1.0;
  return doubleMember(Body, "share");
}

/// A fault of the worker whose index is the member `Name`.
Result<Fault> workerFault(const JsonValue &Body, const char *Name,
                          std::function<void(PlatformWorker &)> Inject) {
  BOOST_LEAF_AUTO(Index, integerMember(Body, Name));
  return Fault([Index, Inject = std::move(Inject)](NodePlatform &Platform) {
    if (PlatformWorker *Found = Platform.worker(Index))
      Inject(*Found);
  });
}

Result<Fault> crashWorker(const JsonValue &Body) {
  BOOST_LEAF_AUTO(DownTime, time(Body, "down_ms"));
  BOOST_LEAF_AUTO(NewId, integerMember(Body, "new_id"));
  BOOST_LEAF_AUTO(Gone, integerMember(Body, "gone"));
  // Longer than any test.
  constexpr Milliseconds GoneTime{24 * 3600 * 1000};
  return workerFault(Body, "crash_worker", [=](PlatformWorker &Worker) {
    Worker.crash(Gone != 0 ? GoneTime : DownTime, NewId != 0);
  });
}

Result<Fault> darkWorker(const JsonValue &Body) {
  BOOST_LEAF_AUTO(DownTime, time(Body, "down_ms"));
  BOOST_LEAF_AUTO(How, stringMember(Body, "how"));
  using Kind = PlatformWorker::DarkKind;
  static const std::map<std::string, Kind> Kinds = {{"", Kind::Reset},
                                                    {"reset", Kind::Reset},
                                                    {"lose", Kind::Lose},
                                                    {"keep", Kind::Keep}};
  const auto Found = Kinds.find(How);
  if (Found == Kinds.end())
    return unknown("how");
  return workerFault(Body, "dark_worker",
                     [=, Kind = Found->second](PlatformWorker &Worker) {
                       Worker.goDark(Kind, DownTime);
                     });
}

Result<Fault> cutWorker(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Time, time(Body, "for_ms"));
  BOOST_LEAF_AUTO(Reborn, integerMember(Body, "reborn"));
  BOOST_LEAF_AUTO(How, stringMember(Body, "how"));
  PlatformWorker::CutKind Kind = PlatformWorker::CutKind::Silent;
  if (How == "replies")
    Kind = PlatformWorker::CutKind::Replies;
  else if (How == "reset")
    Kind = PlatformWorker::CutKind::Reset;
  else if (!How.empty() && How != "silent")
    return unknown("how");
  return workerFault(Body, "cut_worker", [=](PlatformWorker &Worker) {
    Worker.cut(Kind, Time, Reborn != 0);
  });
}

Result<Fault> failingWorker(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Time, time(Body, "for_ms"));
  return workerFault(Body, "failing_worker",
                     [=](PlatformWorker &Worker) { Worker.failRunsFor(Time); });
}

Result<Fault> unlistWorker(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Time, time(Body, "for_ms"));
  return workerFault(Body, "unlist_worker",
                     [=](PlatformWorker &Worker) { Worker.unlist(Time); });
}

Result<Fault> drainWorker(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Remaining, time(Body, "remaining_ms"));
  BOOST_LEAF_AUTO(DownTime, time(Body, "down_ms", Milliseconds(1000)));
  BOOST_LEAF_AUTO(NewId, integerMember(Body, "new_id"));
  return workerFault(Body, "drain_worker", [=](PlatformWorker &Worker) {
    Worker.drain(Remaining, DownTime, NewId != 0);
  });
}

Result<StoreListener::Mode> storeMode(const JsonValue &Body,
                                      StoreListener::Mode Default) {
  BOOST_LEAF_AUTO(How, stringMember(Body, "how"));
  if (How.empty())
    return Default;
  const auto Mode = StoreListener::parseMode(How);
  if (!Mode)
    return unknown("how");
  return *Mode;
}

Result<Fault> storeDown(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Time, time(Body, "store_down_ms"));
  BOOST_LEAF_AUTO(Mode, storeMode(Body, StoreListener::Mode::Closed));
  BOOST_LEAF_AUTO(Share, share(Body));
  return Fault([=](NodePlatform &Platform) {
    Platform.setStoreModeFor(Mode, Time, Share);
  });
}

Result<Fault> storeRefuse(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Time, time(Body, "for_ms"));
  BOOST_LEAF_AUTO(Mode, storeMode(Body, StoreListener::Mode::Reset));
  BOOST_LEAF_AUTO(Share, share(Body));
  const JsonValue *List = findMember(Body, "store_refuse");
  if (!List || !List->is_array())
    return unknown("store_refuse");
  std::vector<std::int64_t> Nodes;
  for (const JsonValue &Each : List->get_array())
    if (const std::int64_t *Node = Each.if_int64())
      Nodes.push_back(*Node);
  return Fault([=](NodePlatform &Platform) {
    for (const std::int64_t Each : Nodes)
      Platform.setStoreModeFor(Each, Mode, Time, Share);
  });
}

Result<Fault> storeLost(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Time, time(Body, "for_ms"));
  BOOST_LEAF_AUTO(Share, doubleMember(Body, "store_lost"));
  BOOST_LEAF_AUTO(Late, integerMember(Body, "late"));
  return Fault([=](NodePlatform &Platform) {
    Platform.loseAppendReplies(Share, Late != 0, Time);
  });
}

Result<Fault> storeSlow(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Time, time(Body, "for_ms"));
  BOOST_LEAF_AUTO(Latency, time(Body, "store_slow_ms"));
  return Fault(
      [=](NodePlatform &Platform) { Platform.slowStore(Latency, Time); });
}

Result<Fault> ordersLate(const JsonValue &Body) {
  BOOST_LEAF_AUTO(Time, time(Body, "for_ms"));
  BOOST_LEAF_AUTO(Share, doubleMember(Body, "orders_late"));
  BOOST_LEAF_AUTO(Across, integerMember(Body, "across"));
  return Fault([=](NodePlatform &Platform) {
    Platform.delayOrders(Share, Time, Across != 0);
  });
}

Result<Fault> nodeFault(const JsonValue &) {
  return Fault([](NodePlatform &) {});
}

/// Returns how long a fault lasts: the sum of its times.
Milliseconds duration(const JsonValue &Body) {
  Milliseconds Sum{0};
  if (const auto *Members = Body.if_object())
    for (const auto &Each : *Members)
      if (std::string_view(Each.key()).ends_with("_ms") &&
          Each.value().is_int64())
        Sum += Milliseconds(Each.value().get_int64());
  return Sum;
}

} // namespace

Result<Fault> parseFault(const std::string &Text) {
  using Parser = Result<Fault> (*)(const JsonValue &);
  static const std::map<std::string, Parser> Parsers = {
      {"crash_worker", crashWorker},   {"cut_worker", cutWorker},
      {"dark_worker", darkWorker},     {"failing_worker", failingWorker},
      {"unlist_worker", unlistWorker}, {"drain_worker", drainWorker},
      {"store_down_ms", storeDown},    {"store_refuse", storeRefuse},
      {"store_lost", storeLost},       {"store_slow_ms", storeSlow},
      {"orders_late", ordersLate},     {"node_fault_ms", nodeFault}};
  BOOST_LEAF_AUTO(Body, parseJsonBody(Text));
  for (const auto &[Name, Parse] : Parsers)
    if (findMember(Body, Name)) {
      BOOST_LEAF_AUTO(Inject, Parse(Body));
      return Fault([Inject, Time = duration(Body)](NodePlatform &Platform) {
        Platform.onFault(Time);
        Inject(Platform);
      });
    }
  return unknown("fault");
}

} // namespace catkinseam
