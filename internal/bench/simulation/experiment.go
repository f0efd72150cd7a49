package simulation

import "time"

// Name is the name of an experiment.
type Name string

// The experiments.
const (
	// StageBurst has bursts of one kind of request, of another, and of all kinds.
	StageBurst Name = "stageburst"
	// HotKey has a third of the requests of one kind use the same shared prefix.
	HotKey Name = "hotkey"
	// Retries has a third of the callers retry at once, several times, while a burst is refused.
	Retries Name = "retries"
	// SlowStage has some targets of the last stage take three times as long.
	SlowStage Name = "slowstage"
	// OwnerLost stops the node that runs the dispatcher.
	OwnerLost Name = "ownerlost"
)

// Names lists the experiments.
var Names = []Name{StageBurst, HotKey, Retries, SlowStage, OwnerLost}

// scenarios builds the scenario of each experiment; all times are fractions of the run's length.
var scenarios = map[Name]func(length time.Duration) Scenario{
	StageBurst: func(l time.Duration) Scenario {
		return Scenario{Bursts: []Burst{{"offer", l / 10, l / 5, 2.5}, {"plan", 4 * l / 10, l / 5, 2.4}, {"", 8 * l / 10, l / 8, 1.6}}}
	},
	HotKey: func(l time.Duration) Scenario {
		return Scenario{HotShare: 0.3, HotKind: "offer", Bursts: []Burst{{"offer", l / 3, l / 4, 1.5}}}
	},
	Retries: func(l time.Duration) Scenario {
		return Scenario{RetryShare: 0.3, MaxRetries: 5, Bursts: []Burst{{"", l / 3, l / 4, 2.5}}}
	},
	SlowStage: func(l time.Duration) Scenario {
		return Scenario{Slowdown: &Slowdown{Service: "terms", Targets: 2, Start: l / 3, Duration: l / 4, Factor: 3}}
	},
	OwnerLost: func(l time.Duration) Scenario { return Scenario{OwnerLossAt: l / 2} },
}

// ScenarioFor returns the scenario of an experiment, or false if the name is unknown.
func ScenarioFor(name Name, length time.Duration) (Scenario, bool) {
	newScenario, ok := scenarios[name]
	if !ok {
		return Scenario{}, false
	}
	scenario := newScenario(length)
	scenario.Duration = length
	return scenario, true
}
