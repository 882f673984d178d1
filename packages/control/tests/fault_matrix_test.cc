
#include <catch2/catch.hpp>

#include "simulated_run.h"

namespace cranberryplank {

namespace {

constexpr Duration kFaultTime{12'000};
constexpr Duration kReachTime{90'000};
constexpr Duration kRecoveryTime{180'000};

/// A step of a flow, with the action that starts the flow, the condition under which the step is
/// reached and the daemon that the fault affects.
struct FlowStep {
  std::string name;
  std::function<void(SimulatedRun*)> begin;
  std::function<bool(SimulatedRun*)> reached;
  std::function<SimulatedDaemon*(SimulatedRun*)> target;
  std::function<void(SimulatedRun*)> race;  ///< A second operator's request at that step.
  std::function<bool(SimulatedRun*)> ended;
};

struct Fault {
  std::string name;
  std::function<void(SimulatedRun*, const FlowStep&)> begin;
};

const Vm& MovedVm(SimulatedRun* run) { return run->head.newest().fleet.vms.at("vm03"); }

void StartMove(SimulatedRun* run, int daemon, std::string_view pool) {
  run->At(daemon).mover.Start(run->clock.Now(), "vm03", pool,
                              [](TimePoint, const ChangeResult&) {});
}

FlowStep MoveStep(std::string name, std::function<bool(SimulatedRun*)> reached) {
  return FlowStep{"move, " + std::move(name),
                  [](SimulatedRun* run) { StartMove(run, 0, "hallmark"); },
                  std::move(reached),
                  [](SimulatedRun* run) { return &run->Acting("vm03"); },
                  [](SimulatedRun* run) {
                    StartMove(run, 1, "hallmark");
                    StartMove(run, 2, "tone");
                    run->At(3).mover.Cancel(run->clock.Now(), "vm03",
                                            [](TimePoint, const ChangeResult&) {});
                  },
                  [](SimulatedRun* run) { return MovedVm(run).state == VmState::kServing; }};
}

void StartWave(SimulatedRun* run, int daemon) {
  run->At(daemon).maintenance.Start(run->clock.Now(), "tone", {},
                                    [](TimePoint, const WaveResult&) {});
}

FlowStep WaveStep(MaintenanceState state) {
  return FlowStep{fmt::format("wave, {}", ToString(state)),
                  [](SimulatedRun* run) { StartWave(run, 0); },
                  [state](SimulatedRun* run) {
                    const auto wave = run->waves.find("tone");
                    return wave != run->waves.end() && wave->second.vms.contains("vm00") &&
                           wave->second.vms.at("vm00").state == state;
                  },
                  [](SimulatedRun* run) { return &run->Acting(MaintenanceKey("tone")); },
                  [](SimulatedRun* run) {
                    StartWave(run, 1);
                    StartWave(run, 2);
                    StartMove(run, 3, "hallmark");
                  },
                  [](SimulatedRun* run) {
                    return run->waves.contains("tone") && !run->waves.at("tone").Active();
                  }};
}

int HeldBy(SimulatedRun* run, int daemon) {
  return run->ledgers.at(LedgerKey(LedgerShardOf("smiths")))
      .teams.at("smiths")
      .HeldBy(run->At(daemon).process.incarnation);
}

/// Slots move from daemon 0, which holds all of them, to daemon 1.
FlowStep SlotStep(std::string name, int target, std::function<bool(SimulatedRun*)> reached) {
  return FlowStep{"slot transfer, " + std::move(name),
                  [](SimulatedRun* run) {
                    run->At(0).waiting["smiths"] = 1'000'000;
                    run->RunUntil(Duration(20'000), [&] { return HeldBy(run, 0) == 10; });
                    run->At(0).waiting["smiths"] = 0;
                    run->At(1).waiting["smiths"] = 1'000'000;
                  },
                  std::move(reached),
                  [target](SimulatedRun* run) { return &run->At(target); },
                  [](SimulatedRun* run) {
                    run->SetLimit("smiths", 4);
                    run->SetLimit("smiths", 12);
                    run->SetLimit("smiths", 6);
                  },
                  [](SimulatedRun* run) {
                    const int number = run->At(1).process.alive ? 1 : 0;
                    return run->Held("smiths") ==
                               run->head.newest().fleet.teams.at("smiths").contract.upper_limit &&
                           (number == 0 || run->At(1).waiting.empty() || HeldBy(run, 1) > 2);
                  }};
}

std::vector<FlowStep> Steps() {
  const auto in_state = [](VmState state) {
    return [state](SimulatedRun* run) { return MovedVm(run).state == state; };
  };
  const auto drained = [](SimulatedRun* run) { return run->workers.workers["vm03"].draining; };
  const auto moved = [](SimulatedRun* run) { return MovedVm(run).pool == "hallmark"; };
  const auto started = [](SimulatedRun* run) { return run->At(1).waiting["smiths"] > 0; };
  const auto given = [](SimulatedRun* run) { return HeldBy(run, 0) < 10; };
  const auto taken = [](SimulatedRun* run) { return HeldBy(run, 1) > 0; };
  return {MoveStep("draining recorded", in_state(VmState::kDraining)),
          MoveStep("worker drained", drained),
          MoveStep("empty recorded", in_state(VmState::kEmpty)),
          MoveStep("serving recorded", moved),
          WaveStep(MaintenanceState::kWaiting),
          WaveStep(MaintenanceState::kPermitted),
          WaveStep(MaintenanceState::kDraining),
          WaveStep(MaintenanceState::kRebooting),
          WaveStep(MaintenanceState::kDone),
          SlotStep("requests wait, giver", 0, started),
          SlotStep("given back, giver", 0, given),
          SlotStep("given back, taker", 1, given),
          SlotStep("taken, taker", 1, taken)};
}

std::vector<Fault> Faults() {
  return {{"kill", [](SimulatedRun* run,
                      const FlowStep& step) { run->Kill(run->NumberOf(*step.target(run))); }},
          {"pause",
           [](SimulatedRun* run, const FlowStep& step) {
             DaemonProcess* process = &step.target(run)->process;
             process->paused = true;
             run->clock.After(kFaultTime, [process] { process->Resume(); });
           }},
          {"partition from the store",
           [](SimulatedRun* run, const FlowStep& step) {
             DaemonProcess* process = &step.target(run)->process;
             process->store_partitioned = true;
             run->clock.After(kFaultTime, [process] { process->store_partitioned = false; });
           }},
          {"store down",
           [](SimulatedRun* run, const FlowStep&) {
             run->store.down = true;
             run->clock.After(kFaultTime, [run] { run->store.down = false; });
           }},
          {"store slow",
           [](SimulatedRun* run, const FlowStep&) {
             run->store.latency = Duration(1'000);
             run->clock.After(kFaultTime, [run] { run->store.latency = Duration(4); });
           }},
          {"response lost after the write",
           [](SimulatedRun* run, const FlowStep&) { run->store.replies_to_lose = 3; }},
          {"operator race", [](SimulatedRun* run, const FlowStep& step) { step.race(run); }}};
}

}  // namespace

// Guards against a flow that never completes, or breaks an invariant, after a fault at one step.
TEST_CASE("Fault matrix of moves, waves and slot transfers") {
  for (const FlowStep& step : Steps()) {
    for (const Fault& fault : Faults()) {
      DYNAMIC_SECTION(step.name << " x " << fault.name) {
        SimulatedRunOptions options;
        options.maintenance.availability.max_answer_age = Duration(2'000);
        SimulatedRun run(options);
        run.clock.RunFor(Duration(8'000));
        step.begin(&run);
        REQUIRE(run.RunUntil(kReachTime, [&] { return step.reached(&run); }));
        fault.begin(&run, step);
        run.clock.RunFor(kFaultTime + Duration(1'000));
        run.RunUntil(kRecoveryTime, [&] { return step.ended(&run) && run.Unfinished().empty(); });
        CHECK(step.ended(&run));
        INFO(run.Unfinished());
        CHECK(run.Unfinished().empty());
      }
    }
  }
}

}  // namespace cranberryplank
