// Package place decides which models and adapters each engine should have loaded,
// and which role it should have.
//
// It decides for one shard of engines at a time, from what the engines have
// loaded and the demand for each model. It changes as little as possible: one
// engine at a time is moved to another model, and only for a clear gain. The
// package must not send orders or read the clock.
package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPressureRatio is the minimum ratio of a model's pressure to the pressure
	// that a move leaves to each model of the engine that is moved to it.
	minPressureRatio = 1.5

	// minPressure is the pressure, in calls per slot, below which no engine is
	// moved to a model to relieve it.
	minPressure = 0.8

	// moveCooldown is the time after a move in which the same engine is not moved
	// again.
	moveCooldown = 30 * time.Second
)

type (
	// Engine is an engine with its declaration and its present state.
	Engine struct {
		Name  string
		Slots int
		// Allowed lists the models that the engine may load, and MaxLoaded is
		// how many of them it may have loaded at a time.
		Allowed   []string
		MaxLoaded int
		// Adapters lists the declared adapters of the engine, and Role is its
		// declared role. An empty Role leaves the engine's role unchanged.
		Adapters []string
		Role     string
		// Loaded lists the models that the engine has loaded now,
		// LoadedAdapters its adapters, and CurrentRole is its role.
		Loaded         []string
		LoadedAdapters []string
		CurrentRole    string
		// MovedAt is when the engine's models were last changed.
		MovedAt time.Time
	}

	// Demand is the demand for one model, in running and waiting calls.
	Demand struct {
		Model string
		Calls float64
	}

	// Order is what an engine should have loaded from now on, and its role.
	Order struct {
		Engine   string
		Models   []string
		Adapters []string
		Role     string
		Reason   Reason
	}

	// Reason is why an order is given. It appears in the log.
	Reason string

	// model is a model with its demand in calls, the slots that serve it, and the
	// number of engines that have it loaded.
	model struct {
		name    string
		calls   float64
		slots   float64
		engines int
	}
)

// The reasons for an order.
const (
	// Declared means that the engine differs from its declaration.
	Declared Reason = "declared"
	// Missing means that a model is not loaded on any engine.
	Missing Reason = "missing"
	// Invalid means that the engine has not loaded as many models as it may, or
	// has loaded one that it may not.
	Invalid Reason = "invalid"
	// Pressure means that another model has a clearly higher pressure.
	Pressure Reason = "pressure"
)

// Orders returns the orders that bring a shard closer to its declarations and
// the demand. An engine that may have all its allowed models loaded at once gets
// all of them.
func Orders(now time.Time, engines []Engine, demands []Demand) []Order {
	var out []Order
	var constrained []Engine
	for _, e := range engines {
		switch {
		case e.MaxLoaded < len(e.Allowed):
			constrained = append(constrained, e)
		case !sameElements(e.Loaded, e.Allowed) || !e.matchesDeclaration():
			out = append(out, e.order(e.Allowed, Declared))
		}
	}
	models := rankModels(engines, demands)
	if o, ok := repair(constrained, models); ok {
		return append(out, o)
	}
	if o, ok := rebalance(now, constrained, models); ok {
		out = append(out, o)
	}
	return out
}

// order returns an order for the engine to load the models, with its declared
// adapters and role.
func (e Engine) order(models []string, reason Reason) Order {
	return Order{Engine: e.Name, Models: models, Adapters: e.Adapters, Role: e.Role, Reason: reason}
}

// matchesDeclaration reports whether the engine has its declared adapters and
// role.
func (e Engine) matchesDeclaration() bool {
	return sameElements(e.LoadedAdapters, e.Adapters) && (e.Role == "" || e.CurrentRole == e.Role)
}

// rankModels returns all models that an engine may load, the one with the highest
// pressure first.
func rankModels(engines []Engine, demands []Demand) []*model {
	byName := make(map[string]*model)
	for _, e := range engines {
		for _, name := range e.Allowed {
			if byName[name] == nil {
				byName[name] = &model{name: name}
			}
		}
		for _, name := range e.Loaded {
			if m := byName[name]; m != nil {
				m.slots += float64(e.Slots) / float64(len(e.Loaded))
				m.engines++
			}
		}
	}
	for _, d := range demands {
		if m := byName[d.Model]; m != nil {
			m.calls += d.Calls
		}
	}
	out := make([]*model, 0, len(byName))
	for _, m := range byName {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.pressure(), a.pressure()), cmp.Compare(a.name, b.name))
	})
	return out
}

// pressure returns the demand per slot. A model that is in demand but not loaded
// on any engine counts as having 0.01 slots, so that its pressure is far higher
// than that of loaded models.
func (m *model) pressure() float64 {
	return m.calls / max(m.slots, 0.01)
}

// repair returns an order for the first engine whose models are invalid or that
// differs from its declaration. If there is none, it returns an order that loads a
// model which no engine has loaded, on the engine that findDonor selects.
func repair(engines []Engine, models []*model) (Order, bool) {
	for _, e := range engines {
		selected := selectModels(e, nil, models)
		if !validLoad(e) && !sameElements(selected, e.Loaded) {
			return e.order(selected, Invalid), true
		}
		if !e.matchesDeclaration() {
			return e.order(selected, Declared), true
		}
	}
	for _, m := range models {
		if m.engines > 0 {
			continue
		}
		if e, ok := findDonor(engines, m, models, func(Engine) bool { return true }); ok {
			return e.order(selectModels(e, []string{m.name}, models), Missing), true
		}
	}
	return Order{}, false
}

// rebalance moves one engine to the model with the highest pressure, from models
// whose pressure is much lower.
func rebalance(now time.Time, engines []Engine, models []*model) (Order, bool) {
	if len(models) == 0 || models[0].pressure() < minPressure {
		return Order{}, false
	}
	top := models[0]
	e, ok := findDonor(engines, top, models, func(e Engine) bool {
		return now.Sub(e.MovedAt) >= moveCooldown && canSpare(e, top, models)
	})
	if !ok {
		return Order{}, false
	}
	return e.order(selectModels(e, []string{top.name}, models), Pressure), true
}

// findDonor returns the engine to move to model m: of the eligible engines that
// may load m and have not, the one whose own models have the lowest pressure. An
// engine that is the only one with some model loaded is not moved to a model
// without demand.
func findDonor(engines []Engine, m *model, models []*model, eligible func(Engine) bool) (Engine, bool) {
	var best Engine
	bestPressure, found := 0.0, false
	for _, e := range engines {
		if !slices.Contains(e.Allowed, m.name) || slices.Contains(e.Loaded, m.name) || !eligible(e) {
			continue
		}
		p, soleHost := highestPressure(e, models)
		if soleHost && m.calls == 0 {
			continue
		}
		if !found || p < bestPressure {
			best, bestPressure, found = e, p, true
		}
	}
	return best, found
}

// canSpare reports whether the engine can be moved to the target model. The
// target's pressure has to be clearly higher than what the move leaves to each of
// the engine's models. After the move none of these may have a pressure above both
// the target's and minPressure, so that the engine is not moved back. No model may
// lose its last engine.
func canSpare(e Engine, target *model, models []*model) bool {
	pressureAfter := target.calls / (target.slots + float64(e.Slots)/float64(max(1, e.MaxLoaded)))
	for _, m := range models {
		if !slices.Contains(e.Loaded, m.name) {
			continue
		}
		remaining := m.slots - float64(e.Slots)/float64(len(e.Loaded))
		if m.engines <= 1 || remaining <= 0 || target.pressure() < minPressureRatio*m.calls/remaining || m.calls/remaining > max(minPressure, pressureAfter) {
			return false
		}
	}
	return true
}

// highestPressure returns the highest pressure among the engine's models, and
// whether the engine is the only one that has some of them loaded.
func highestPressure(e Engine, models []*model) (pressure float64, soleHost bool) {
	for _, m := range models {
		if slices.Contains(e.Loaded, m.name) {
			pressure = max(pressure, m.pressure())
			soleHost = soleHost || m.engines <= 1
		}
	}
	return pressure, soleHost
}

// selectModels returns the models that an engine should load: those required, then
// those that it has loaded, then those with the highest pressure.
func selectModels(e Engine, required []string, models []*model) []string {
	out := slices.Clone(required)
	add := func(name string) {
		if len(out) < e.MaxLoaded && slices.Contains(e.Allowed, name) && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	if len(required) == 0 || e.MaxLoaded > 1 {
		for _, name := range e.Loaded {
			add(name)
		}
	}
	for _, m := range models {
		add(m.name)
	}
	slices.Sort(out)
	return out
}

// validLoad reports whether the engine has loaded only models that it may load,
// and as many as it may.
func validLoad(e Engine) bool {
	for _, name := range e.Loaded {
		if !slices.Contains(e.Allowed, name) {
			return false
		}
	}
	return len(e.Loaded) == e.MaxLoaded
}

// sameElements reports whether a and b have the same elements in any order.
func sameElements(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
