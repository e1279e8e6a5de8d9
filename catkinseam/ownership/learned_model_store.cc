// Reads and writes the record of the interference model.
#include "catkinseam/ownership/learned_model_store.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

LearnedModelStore::LearnedModelStore(Runtime &Host, KeyedLog &Log,
                                     Scheduler &Plan, const Options &Values)
    : m_log(Log), m_scheduler(Plan), m_options(Values), m_timer(Host) {}

LearnedModelStore::~LearnedModelStore() { *m_isAlive = false; }

void LearnedModelStore::load(std::function<void()> Done) {
  m_log.newest(LogTopic::Learned, "", m_options.m_timeout,
               [this, IsAlive = m_isAlive,
                Done = std::move(Done)](const NewestReply &Reply) {
                 if (!*IsAlive)
                   return;
                 restore(Reply);
                 Done();
               });
}

void LearnedModelStore::restore(const NewestReply &Reply) {
  if (Reply.m_outcome != LogOutcome::Done)
    logWarn("owner.knowledge_not_read",
            {{"outcome", logOutcomeName(Reply.m_outcome)}});
  for (const StoredRecord &Each : Reply.m_records) {
    if (Each.m_record.m_key != LearnedModelKey || !Each.m_record.m_value)
      continue;
    auto Learned = attempt([&] {
      return decode<InterferenceModel::State>(*Each.m_record.m_value);
    });
    if (Learned)
      m_scheduler.restoreInterference(Learned.value());
    else
      logWarn("owner.knowledge_unreadable",
              {{"fault", Learned.error().m_message}});
  }
}

void LearnedModelStore::startStoring() {
  m_timer.start(m_options.m_storeInterval, [this] {
    store();
    startStoring();
  });
}

void LearnedModelStore::stop() { m_timer.cancel(); }

void LearnedModelStore::store() {
  const InterferenceModel::EncodedState Model =
      m_scheduler.encodedInterference(m_options.m_maxBytes);
  if (Model.m_minWeight > 0.0)
    logInfo("owner.knowledge_cut",
            {{"bytes", std::to_string(Model.m_bytes.size())},
             {"limit", std::to_string(m_options.m_maxBytes)},
             {"least_weight", std::to_string(Model.m_minWeight)}});
  m_log.append(LogTopic::Learned, {{LearnedModelKey, Model.m_bytes}},
               std::nullopt, m_options.m_timeout,
               [Bytes = Model.m_bytes.size()](const AppendReply &Reply) {
                 if (Reply.m_outcome != LogOutcome::Done)
                   logWarn("owner.knowledge_not_stored",
                           {{"outcome", logOutcomeName(Reply.m_outcome)},
                            {"bytes", std::to_string(Bytes)}});
               });
}

} // namespace catkinseam
