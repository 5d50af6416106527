package declare

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"chervilpath/core/option"
)

const (
	// MaxFragmentBytes is the maximum size of a declaration file. It follows from
	// the platform's limit of 1 MB per object.
	MaxFragmentBytes = 1_000_000

	keyHashPrefix = "sha256:"
)

// builder collects the blocks of all fragments and the problems found in them.
type builder struct {
	set       *Set
	pipelines map[string]*option.Block
	kinds     map[string]*option.Block
	stages    map[string]*option.Block
	endpoints map[string]*option.Block
	seen      map[string]*option.Block
	problems  option.Problems
}

// Parse parses one fragment and checks it against Table. It returns every
// problem found; the fragment must be used only if there are none.
func Parse(f Fragment) (*ParsedFragment, option.Problems) {
	if len(f.Data) > MaxFragmentBytes {
		msg := fmt.Sprintf("the file has %d bytes; split it into files of at most %d bytes", len(f.Data), MaxFragmentBytes)
		return nil, option.Problems{{File: f.Name, Line: 1, Section: "file", Message: msg}}
	}
	blocks, problems := Table.Parse(f.Name, f.Data)
	return &ParsedFragment{name: f.Name, blocks: blocks}, problems
}

// Build parses all fragments and combines them. The Set is nil if any problem
// was found.
func Build(fragments []Fragment) (*Set, option.Problems) {
	var problems option.Problems
	parsed := make([]*ParsedFragment, 0, len(fragments))
	for _, f := range fragments {
		p, found := Parse(f)
		problems = append(problems, found...)
		if p != nil {
			parsed = append(parsed, p)
		}
	}
	set, found := Combine(parsed)
	problems = append(problems, found...)
	if len(problems) > 0 {
		return nil, problems
	}
	return set, nil
}

// Combine builds a Set from parsed fragments and checks it as a whole. It
// returns every problem found; the Set is nil if there are any.
func Combine(parsed []*ParsedFragment) (*Set, option.Problems) {
	b := &builder{
		set: &Set{
			stages:        make(map[string]*Stage),
			endpoints:     make(map[string]*Endpoint),
			kinds:         make(map[string]*Kind),
			organisations: make(map[string]*Organisation),
			byKeyHash:     make(map[[sha256.Size]byte]*Organisation),
		},
		pipelines: make(map[string]*option.Block),
		kinds:     make(map[string]*option.Block),
		stages:    make(map[string]*option.Block),
		endpoints: make(map[string]*option.Block),
		seen:      make(map[string]*option.Block),
	}
	for _, p := range parsed {
		for _, block := range p.blocks {
			b.add(block)
		}
	}
	b.linkEndpoints()
	b.buildKinds()
	b.checkPipelines()
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return b.set, nil
}

func (b *builder) report(block *option.Block, key, format string, args ...any) {
	b.problems = append(b.problems, block.Problem(key, format, args...))
}

func (b *builder) add(block *option.Block) {
	id := block.Kind() + " " + block.Name()
	if first, ok := b.seen[id]; ok {
		pos := first.Problem("", "")
		b.report(block, "", "it stands already in %s:%d; keep one of the two", pos.File, pos.Line)
		return
	}
	b.seen[id] = block
	switch block.Kind() {
	case pipelineSection:
		b.pipelines[block.Name()] = block
	case kindSection:
		b.kinds[block.Name()] = block
	case stageSection:
		b.addStage(block)
	case endpointSection:
		b.addEndpoint(block)
	case organisationSection:
		b.addOrganisation(block)
	}
}

func (b *builder) addStage(block *option.Block) {
	s := &Stage{
		name:       block.Name(),
		unit:       block.Text("unit"),
		price:      block.Number("price"),
		idempotent: block.Flag("idempotent"),
		retries:    block.Int("retries"),
		hedge:      block.Flag("hedge"),
		maxQueue:   block.Int("queue"),
		model:      block.Text("model"),
		adapter:    block.Text("adapter"),
		affinity:   block.Flag("affinity"),
	}
	if s.adapter != "" && s.model == "" {
		b.report(block, "adapter", "an adapter requires a model; write model too")
	}
	if !s.idempotent {
		if block.Has("retries") && s.retries > 0 {
			b.report(block, "retries", "a call of a non-idempotent stage is never retried; write retries = 0 or leave it out")
		}
		if s.hedge {
			b.report(block, "hedge", "a call of a non-idempotent stage is never hedged; write hedge = no")
		}
		s.retries = 0
	}
	b.stages[s.name] = block
	b.set.stages[s.name] = s
}

func (b *builder) addEndpoint(block *option.Block) {
	e := &Endpoint{
		name:            block.Name(),
		address:         strings.TrimSuffix(block.Text("address"), "/"),
		kind:            block.Text("kind"),
		failureDomain:   block.Text("failureDomain"),
		slots:           block.Int("slots"),
		reportsLoad:     block.Flag("reportsLoad"),
		checksCaller:    block.Flag("checksCaller"),
		refusesOldFence: block.Flag("refusesOldFence"),
		resumes:         block.Flag("resumes"),
		models:          block.List("models"),
		modelSlots:      block.Int("modelSlots"),
		adapters:        block.List("adapters"),
		role:            block.Text("role"),
	}
	if e.role == "any" {
		e.role = ""
	}
	if e.modelSlots == 0 || e.modelSlots > len(e.models) {
		e.modelSlots = len(e.models)
	}
	for _, key := range []string{"models", "modelSlots", "adapters", "role"} {
		if e.kind != "engine" && block.Has(key) {
			b.report(block, key, "a %s loads no models; leave the key out or write kind = engine", e.kind)
		}
	}
	b.endpoints[e.name] = block
	b.set.endpoints[e.name] = e
}

func (b *builder) addOrganisation(block *option.Block) {
	o := &Organisation{name: block.Name(), share: block.Number("share"), maxConcurrent: block.Int("concurrent")}
	for _, text := range block.List("keyHashes") {
		digest, err := parseKeyHash(text)
		if err != nil {
			b.report(block, "keyHashes", "%v", err)
			continue
		}
		if other, ok := b.set.byKeyHash[digest]; ok {
			b.report(block, "keyHashes", "the key already belongs to organisation %q; give each organisation its own key", other.name)
			continue
		}
		b.set.byKeyHash[digest] = o
		o.keyHashes = append(o.keyHashes, digest)
	}
	b.set.organisations[o.name] = o
}

// parseKeyHash decodes the hash of an API key. Its error does not contain the
// value: a key written there in place of its hash must not reach a log.
func parseKeyHash(text string) ([sha256.Size]byte, error) {
	var digest [sha256.Size]byte
	hexText, ok := strings.CutPrefix(text, keyHashPrefix)
	raw, err := hex.DecodeString(hexText)
	if !ok || err != nil || len(raw) != sha256.Size {
		return digest, fmt.Errorf("a value is not a key hash; write sha256: and 64 hex digits, as `chervilpath hash-key` prints them")
	}
	copy(digest[:], raw)
	return digest, nil
}

func (b *builder) linkEndpoints() {
	for _, name := range sortedKeys(b.endpoints) {
		block := b.endpoints[name]
		e := b.set.endpoints[name]
		for _, stageName := range block.List("stages") {
			s, ok := b.set.stages[stageName]
			if !ok {
				b.report(block, "stages", "stage %q is not declared; declared stages are %s", stageName, joinNames(b.set.stages))
				continue
			}
			if s.model != "" && e.kind != "engine" {
				b.report(block, "stages", "stage %q needs model %q; only an engine can load it", stageName, s.model)
			}
			if s.adapter != "" && !slices.Contains(e.adapters, s.adapter) {
				b.report(block, "stages", "stage %q needs adapter %q; list it in adapters", stageName, s.adapter)
			}
			s.endpoints = append(s.endpoints, e)
		}
	}
	for _, name := range sortedKeys(b.set.stages) {
		if len(b.set.stages[name].endpoints) == 0 {
			b.report(b.stages[name], "", "no endpoint serves the stage; list it in the stages of an [endpoint]")
		}
	}
}

func (b *builder) buildKinds() {
	for _, name := range sortedKeys(b.kinds) {
		block := b.kinds[name]
		k := &Kind{
			name:       name,
			priority:   prioritiesByName[block.Text("priority")],
			idempotent: block.Flag("idempotent"),
			deadline:   block.Duration("deadline"),
			retries:    block.Int("retries"),
		}
		pipeline := block.Text("pipeline")
		if _, ok := b.pipelines[pipeline]; !ok {
			b.report(block, "pipeline", "pipeline %q is not declared; declared pipelines are %s", pipeline, joinNames(b.pipelines))
			continue
		}
		k.stages, _ = b.expand(pipeline, nil)
		b.checkKind(block, k)
		b.set.kinds[name] = k
	}
}

func (b *builder) checkKind(block *option.Block, k *Kind) {
	if !k.idempotent && k.retries > 0 {
		b.report(block, "retries", "a request of a non-idempotent kind is never retried; write retries = 0 or leave it out")
	}
	nonIdempotent := 0
	for _, s := range k.stages {
		if !s.idempotent {
			nonIdempotent++
		}
	}
	if k.idempotent && nonIdempotent > 0 {
		b.report(block, "idempotent", "its pipeline has a non-idempotent stage; write idempotent = no")
	}
	if nonIdempotent > 1 {
		b.report(block, "pipeline", "its pipeline has %d non-idempotent stages; at most one is allowed", nonIdempotent)
	}
}

// checkPipelines reports undeclared stages and cycles in every pipeline,
// including those that no kind uses.
func (b *builder) checkPipelines() {
	for _, name := range sortedKeys(b.pipelines) {
		if _, err := b.expand(name, nil); err != nil {
			b.report(b.pipelines[name], "stages", "%v", err)
		}
	}
}

// expand returns the stages of a pipeline, with nested pipelines replaced by
// their stages. path lists the enclosing pipelines, to detect cycles.
func (b *builder) expand(name string, path []string) ([]*Stage, error) {
	if slices.Contains(path, name) {
		return nil, fmt.Errorf("pipelines form a cycle: %s; remove one of them", strings.Join(append(path, name), ", "))
	}
	path = append(path, name)
	var stages []*Stage
	for _, member := range b.pipelines[name].List("stages") {
		if s, ok := b.set.stages[member]; ok {
			if slices.Contains(stages, s) {
				return nil, fmt.Errorf("stage %q is listed twice; a request passes through each stage once", member)
			}
			stages = append(stages, s)
			continue
		}
		if _, ok := b.pipelines[member]; !ok {
			return nil, fmt.Errorf("%q is neither a stage nor a pipeline; declared stages are %s", member, joinNames(b.set.stages))
		}
		inner, err := b.expand(member, path)
		if err != nil {
			return nil, err
		}
		stages = append(stages, inner...)
	}
	if len(stages) == 0 {
		return nil, fmt.Errorf("the pipeline has no stages; list at least one")
	}
	return stages, nil
}

func joinNames[V any](m map[string]V) string {
	if len(m) == 0 {
		return "none"
	}
	return strings.Join(sortedKeys(m), ", ")
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
