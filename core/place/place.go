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
	// gain is how many times as pressed as the donor a model has to be before
	// an engine is moved to it.
	gain = 1.5

	// pressed is the demand for each slot below which no engine is moved.
	pressed = 0.8

	// settle is the time after a move in which the same engine stays.
	settle = 30 * time.Second
)

type (
	// Engine is one engine as declared and as it is.
	Engine struct {
		Name  string
		Slots int
		// Allowed lists the models that the engine may load, and AtOnce how
		// many of them at a time.
		Allowed []string
		AtOnce  int
		// Adapters lists the adapters that the engine is to have, and Role what
		// it is to do; "" leaves it as it is.
		Adapters []string
		Role     string
		// Loaded lists the models that the engine has loaded now, HasAdapters
		// its adapters and HasRole its role.
		Loaded      []string
		HasAdapters []string
		HasRole     string
		// Moved is when its models were last changed.
		Moved time.Time
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
	var choosy []Engine
	for _, e := range engines {
		switch {
		case e.AtOnce < len(e.Allowed):
			choosy = append(choosy, e)
		case !same(e.Loaded, e.Allowed) || !e.asDeclared():
			out = append(out, e.order(e.Allowed, Declared))
		}
	}
	models := count(engines, demands)
	if o, ok := repair(choosy, models); ok {
		return append(out, o)
	}
	if o, ok := relieve(now, choosy, models); ok {
		out = append(out, o)
	}
	return out
}

// order returns an order for the engine.
func (e Engine) order(models []string, reason Reason) Order {
	return Order{Engine: e.Name, Models: models, Adapters: e.Adapters, Role: e.Role, Reason: reason}
}

// asDeclared reports whether the engine has its adapters and its role.
func (e Engine) asDeclared() bool {
	return same(e.HasAdapters, e.Adapters) && (e.Role == "" || e.HasRole == e.Role)
}

// count returns every model that an engine may load, the most pressed first.
func count(engines []Engine, demands []Demand) []*model {
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
		want := fill(e, nil, models)
		if !valid(e) && !same(want, e.Loaded) {
			return e.order(want, Invalid), true
		}
		if !e.asDeclared() {
			return e.order(want, Declared), true
		}
	}
	for _, m := range models {
		if m.engines > 0 {
			continue
		}
		if e, ok := donor(engines, m, models, func(Engine) bool { return true }); ok {
			return e.order(fill(e, []string{m.name}, models), Missing), true
		}
	}
	return Order{}, false
}

// relieve moves one engine to the most pressed model from a much less pressed one.
func relieve(now time.Time, engines []Engine, models []*model) (Order, bool) {
	if len(models) == 0 || models[0].pressure() < pressed {
		return Order{}, false
	}
	top := models[0]
	e, ok := donor(engines, top, models, func(e Engine) bool {
		return now.Sub(e.Moved) >= settle && spares(e, top, models)
	})
	if !ok {
		return Order{}, false
	}
	return e.order(fill(e, []string{top.name}, models), Pressure), true
}

// donor returns the engine that may load the model, has not, and whose loss
// presses its own models least.
func donor(engines []Engine, m *model, models []*model, take func(Engine) bool) (Engine, bool) {
	var best Engine
	bestPressure, found := 0.0, false
	for _, e := range engines {
		if !slices.Contains(e.Allowed, m.name) || slices.Contains(e.Loaded, m.name) || !take(e) {
			continue
		}
		p, alone := worst(e, models)
		if alone && m.calls == 0 {
			continue
		}
		if !found || p < bestPressure {
			best, bestPressure, found = e, p, true
		}
	}
	return best, found
}

// spares reports whether the model stays clearly more pressed than those of the
// engine after it was moved, so that it is not moved back.
func spares(e Engine, to *model, models []*model) bool {
	after := to.calls / (to.slots + float64(e.Slots)/float64(max(1, e.AtOnce)))
	for _, m := range models {
		if !slices.Contains(e.Loaded, m.name) {
			continue
		}
		left := m.slots - float64(e.Slots)/float64(len(e.Loaded))
		if m.engines <= 1 || left <= 0 || to.pressure() < gain*m.calls/left || m.calls/left > max(pressed, after) {
			return false
		}
	}
	return true
}

// worst returns the highest pressure among the engine's models, and whether it
// alone has one of them.
func worst(e Engine, models []*model) (pressure float64, alone bool) {
	for _, m := range models {
		if slices.Contains(e.Loaded, m.name) {
			pressure = max(pressure, m.pressure())
			alone = alone || m.engines <= 1
		}
	}
	return pressure, alone
}

// fill returns the models that an engine is to load: those given, then what it
// has, then the most pressed.
func fill(e Engine, first []string, models []*model) []string {
	out := slices.Clone(first)
	add := func(name string) {
		if len(out) < e.AtOnce && slices.Contains(e.Allowed, name) && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	if len(first) == 0 || e.AtOnce > 1 {
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

func valid(e Engine) bool {
	for _, name := range e.Loaded {
		if !slices.Contains(e.Allowed, name) {
			return false
		}
	}
	return len(e.Loaded) == e.AtOnce
}

func same(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
