#include "deduplicator_thread.h"

#include <future>

#include "cassiakeel/base/random.h"
#include "log.h"

namespace cassiakeel::node {
namespace {

using std::chrono::milliseconds;

// A shard that moves to another node is not served for about one interval.
constexpr milliseconds kMaintainInterval{200};
constexpr milliseconds kGrantTimeout{1000};
constexpr int kIdBytes = 16;

}  // namespace

DeduplicatorThread::DeduplicatorThread(
    const NodeSettings& settings,
    const Clock& clock,
    platform::Table& table,
    platform::ObjectStore& objects,
    const control::Blackboard& blackboard,
    control::ControlThread& control,
    ServingEndpoint& serving,
    std::atomic<once::Deduplicator*>& published_deduplicator)
    : settings(settings),
      clock(clock),
      table(table),
      objects(objects),
      blackboard(blackboard),
      control(control),
      serving(serving),
      published_deduplicator(published_deduplicator),
      thread([this] { this->Run(); }) {}

DeduplicatorThread::~DeduplicatorThread() {
  this->Stop();
}

void DeduplicatorThread::SetService(const ServiceName& name) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->service.Value().empty()) {
    this->service = name;
  }
}

void DeduplicatorThread::Leave() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->leaving = true;
  if (this->deduplicator) {
    this->deduplicator->Leave();
  }
}

bool DeduplicatorThread::HasLeft() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return !this->deduplicator || this->deduplicator->HasLeft();
}

void DeduplicatorThread::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void DeduplicatorThread::Run() {
  std::string last_error;
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    if (!this->deduplicator) {
      this->CreateDeduplicator();
    }
    if (once::Deduplicator* current = this->deduplicator.get()) {
      lock.unlock();
      current->Maintain();
      const auto error = current->LastStoreError();
      const std::string text = error ? error->ToString() : "";
      if (error && text != last_error) {
        LogError(*error);
      }
      last_error = text;
      lock.lock();
    }
    this->wake.wait_for(lock, kMaintainInterval);
  }
}

void DeduplicatorThread::CreateDeduplicator() {
  const auto view = this->blackboard.members.Read();
  if (this->leaving || this->service.Value().empty() || !view ||
      view->self.incarnation.Value() == 0) {
    return;
  }
  this->incarnation = view->self.incarnation;
  once::DeduplicatorConfig config;
  config.self = {{this->settings.node_id, this->incarnation},
                 this->settings.zone};
  config.service = this->service;
  config.decide.server_enforces_deadline =
      this->settings.server_enforces_deadline;
  auto created =
      once::Deduplicator::Create(std::move(config), this->MakeEnvironment());
  if (!created) {
    LogError(created.error());
    return;
  }
  this->deduplicator = *std::move(created);
  this->serving.SetDeduplicator(this->deduplicator.get());
  this->published_deduplicator = this->deduplicator.get();
}

once::DeduplicatorEnvironment DeduplicatorThread::MakeEnvironment() {
  once::DeduplicatorEnvironment environment;
  environment.clock = &this->clock;
  environment.table = &this->table;
  environment.objects = &this->objects;
  environment.nodes = [this] { return this->LiveNodes(); };
  environment.wall_offset = [this] { return this->MeasuredOffset(); };
  environment.request_grant = [this](const once::GrantRequest& request) {
    return this->RequestGrant(request);
  };
  environment.make_id = [rng = Rng(std::random_device()())]() mutable {
    return RandomHex(kIdBytes, rng);
  };
  return environment;
}

std::vector<once::ServiceNode> DeduplicatorThread::LiveNodes() const {
  std::vector<once::ServiceNode> nodes;
  const auto view = this->blackboard.members.Read();
  if (!view) {
    return nodes;
  }
  for (const auto& endpoint : membership::EndpointsOf(*view, this->service)) {
    const auto& member = endpoint.member;
    nodes.push_back({{member.node, member.incarnation}, member.zone});
  }
  return nodes;
}

std::optional<once::WallOffset> DeduplicatorThread::MeasuredOffset() const {
  once::WallOffset measured;
  measured.measured = this->clock.Now();
  measured.measured_wall = this->clock.WallNow();
  const auto view = this->blackboard.members.Read();
  const auto check = this->blackboard.clock.Read();
  if (check && check->offset) {
    measured.offset = *check->offset;
    return measured;
  }
  // Too few peers to take a median: there is no clock to compare with, so the
  // offset is reported as 0.
  if (view && view->members.size() <= membership::kMinClockPeers) {
    return measured;
  }
  return std::nullopt;
}

bool DeduplicatorThread::RequestGrant(const once::GrantRequest& request) {
  const auto view = this->blackboard.members.Read();
  if (!view) {
    return false;
  }
  for (const auto& member : view->members) {
    if (member.node != request.grantor.node) {
      continue;
    }
    control::LeaseRequest message;
    message.holder = request.holder.node;
    message.incarnation = request.holder.incarnation;
    message.grantor_incarnation = request.grantor.incarnation;
    message.term = request.term;
    auto granted = std::make_shared<std::promise<bool>>();
    auto answer = granted->get_future();
    this->control.RequestLeaseGrant(
        member.rpc, message,
        [granted](const Result<control::LeaseGrant>& grant) {
          granted->set_value(grant && grant->granted);
        });
    return answer.wait_for(kGrantTimeout) == std::future_status::ready &&
           answer.get();
  }
  return false;
}

control::LeaseGrant DeduplicatorThread::HandleGrant(
    const control::LeaseRequest& request) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  control::LeaseGrant grant;
  if (!this->deduplicator) {
    return grant;
  }
  once::GrantRequest converted;
  converted.holder = {request.holder, request.incarnation};
  converted.grantor = {this->settings.node_id, request.grantor_incarnation};
  converted.term = request.term;
  grant.granted = this->deduplicator->HandleGrant(converted);
  return grant;
}

}  // namespace cassiakeel::node
