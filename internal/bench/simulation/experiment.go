package simulation

import "time"

// Name names an experiment.
type Name string

// The experiments.
const (
	// StageBurst is bursts of one kind, of another, and of all.
	StageBurst Name = "stageburst"
	// HotKey has a third of the requests of one kind share one part of their prompts.
	HotKey Name = "hotkey"
	// Retries has a third of the callers come back at once, several times, while a burst is refused.
	Retries Name = "retries"
	// SlowStage has some targets of the last stage take three times as long.
	SlowStage Name = "slowstage"
	// OwnerLost loses the node that fills the calls.
	OwnerLost Name = "ownerlost"
)

// Names lists the experiments.
var Names = []Name{StageBurst, HotKey, Retries, SlowStage, OwnerLost}

// patterns is what happens in each experiment; its times are parts of the length of a run.
var patterns = map[Name]func(length time.Duration) Scenario{
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

// ScenarioFor gives the pattern of an experiment; false if there is none of that name.
func ScenarioFor(name Name, length time.Duration) (Scenario, bool) {
	make, ok := patterns[name]
	if !ok {
		return Scenario{}, false
	}
	p := make(length)
	p.Duration = length
	return p, true
}
