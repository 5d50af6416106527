// Package place owns what each engine is to have loaded: models, adapters, and
// its role.
//
// It answers for one shard of engines, from what they have loaded and what is
// asked of each model, and it changes little: one engine at a time is moved, and
// only for a clear gain. It sends no orders and reads no clock.
package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPressureRatio is how many times as pressed as the donor a model has to be before
	// an engine is moved to it.
	minPressureRatio = 1.5

	// minPressure is the demand for each slot below which no engine is moved.
	minPressure = 0.8

	// moveCooldown is the time after a move in which the same engine stays.
	moveCooldown = 30 * time.Second
)

type (
	// Engine is one engine as declared and as it is.
	Engine struct {
		Name  string
		Slots int
		// Allowed lists the models that the engine may load, and AtOnce how
		// many of them at a time.
		Allowed   []string
		MaxLoaded int
		// Adapters lists the adapters that the engine is to have, and Role what
		// it is to do; "" leaves it as it is.
		Adapters []string
		Role     string
		// Loaded lists the models that the engine has loaded now, HasAdapters
		// its adapters and HasRole its role.
		Loaded         []string
		LoadedAdapters []string
		CurrentRole    string
		// MovedAt is when its models were last changed.
		MovedAt time.Time
	}

	// Demand is what is asked of one model, in calls at work and waiting.
	Demand struct {
		Model string
		Calls float64
	}

	// Order is what an engine is to have loaded and do from now on.
	Order struct {
		Engine   string
		Models   []string
		Adapters []string
		Role     string
		Reason   Reason
	}

	// Reason says why an order is given, for the log.
	Reason string

	// model is what a model has and what is asked of it.
	model struct {
		name    string
		calls   float64
		slots   float64
		engines int
	}
)

// The reasons.
const (
	Declared Reason = "declared"
	Missing  Reason = "missing"
	Invalid  Reason = "invalid"
	Pressure Reason = "pressure"
)

// Orders returns the orders that bring a shard closer to what is declared and
// asked for. An engine that may load all its models at once gets them all.
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

// order returns an order for the engine.
func (e Engine) order(models []string, reason Reason) Order {
	return Order{Engine: e.Name, Models: models, Adapters: e.Adapters, Role: e.Role, Reason: reason}
}

// matchesDeclaration reports whether the engine has its adapters and its role.
func (e Engine) matchesDeclaration() bool {
	return sameElements(e.LoadedAdapters, e.Adapters) && (e.Role == "" || e.CurrentRole == e.Role)
}

// rankModels returns every model that an engine may load, the most pressed first.
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

// pressure is the demand for each slot. A model that is loaded nowhere and
// asked for is pressed most.
func (m *model) pressure() float64 {
	return m.calls / max(m.slots, 0.01)
}

// repair gives an order to an engine that has loaded nothing or what it may
// not, or brings a model that is loaded nowhere to an engine that can spare it.
func repair(engines []Engine, models []*model) (Order, bool) {
	for _, e := range engines {
		want := selectModels(e, nil, models)
		if !validLoad(e) && !sameElements(want, e.Loaded) {
			return e.order(want, Invalid), true
		}
		if !e.matchesDeclaration() {
			return e.order(want, Declared), true
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

// rebalance moves one engine to the most pressed model from a much less pressed one.
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

// findDonor returns the engine that may load the model, has not, and whose loss
// presses its own models least.
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

// canSpare reports whether the model stays clearly more pressed than those of the
// engine after it was moved, so that it is not moved back.
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

// highestPressure returns the highest pressure among the engine's models, and whether it
// alone has one of them.
func highestPressure(e Engine, models []*model) (pressure float64, soleHost bool) {
	for _, m := range models {
		if slices.Contains(e.Loaded, m.name) {
			pressure = max(pressure, m.pressure())
			soleHost = soleHost || m.engines <= 1
		}
	}
	return pressure, soleHost
}

// selectModels returns the models that an engine is to load: those given, then what it
// has, then the most pressed.
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

func validLoad(e Engine) bool {
	for _, name := range e.Loaded {
		if !slices.Contains(e.Allowed, name) {
			return false
		}
	}
	return len(e.Loaded) == e.MaxLoaded
}

func sameElements(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
