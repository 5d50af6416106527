package declare_test

import (
	"fmt"
	"strings"
	"testing"

	"chervilpath/core/declare"
)

const validDeclarations = `[pipeline find]
stages = encode, retrieve
[pipeline book]
stages = find, reserve
[stage encode]
unit = images
[stage retrieve]
[stage reserve]
idempotent = no
[endpoint e1]
address = http://127.0.0.1:9001
kind = pool
stages = encode, retrieve, reserve
failureDomain = midrand
[kind bookCrew]
pipeline = book
idempotent = no
priority = high
[kind lookUp]
pipeline = find
retries = 1
`

func build(text string) (*declare.Set, string) {
	set, problems := declare.Build([]declare.Fragment{{Name: "a.ini", Data: []byte(text)}})
	return set, problems.Error()
}

func TestBuildExpandsPipelines(t *testing.T) {
	org := "[organisation roofs]\nkeyHashes = " + declare.HashKey("k1") + ", " + declare.HashKey("k2") + "\n"
	set, problems := build(validDeclarations + org)
	if set == nil {
		t.Fatal(problems)
	}
	k, _ := set.Kind("bookCrew")
	var names []string
	for _, s := range k.Stages() {
		names = append(names, s.Name())
	}
	if got := strings.Join(names, " "); got != "encode retrieve reserve" {
		t.Errorf("stages = %q", got)
	}
	for _, key := range []string{"k1", "k2"} {
		if o, ok := set.Authenticate(key); !ok || o.Name() != "roofs" {
			t.Errorf("Authenticate(%q) = %v, %v", key, o, ok)
		}
	}
	if _, ok := set.Authenticate("k3"); ok {
		t.Error("Authenticate accepted an unknown key")
	}
}

func TestBuildReportsProblems(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"dangling stage", "stages = encode, retrieve\n", "stages = encode, retriever\n", `a.ini:2: pipeline find stages: "retriever" is neither a stage nor a pipeline; declared stages are encode, reserve, retrieve`},
		{"cycle", "stages = encode, retrieve\n", "stages = encode, book\n", "pipelines form a cycle: book, find, book"},
		{"retry of what is not idempotent", "priority = high", "retries = 2", "a.ini:18: kind bookCrew retries: a request of a non-idempotent kind is never retried"},
		{"idempotent kind over such a stage", "idempotent = no\npriority", "idempotent = yes\npriority", "its pipeline has a non-idempotent stage"},
		{"hedge of what is not idempotent", "[stage reserve]\n", "[stage reserve]\nhedge = yes\n", "stage reserve hedge: a call of a non-idempotent stage is never hedged"},
		{"stage without endpoint", "stages = encode, retrieve, reserve", "stages = encode, retrieve", "a.ini:8: stage reserve: no endpoint serves the stage"},
		{"role of a pool member", "kind = pool", "kind = pool\nrole = decode", "endpoint e1 role: a pool loads no models"},
		{"adapter without a model", "[stage retrieve]\n", "[stage retrieve]\nadapter = x\n", "stage retrieve adapter: an adapter requires a model"},
		{"unknown pipeline", "pipeline = find", "pipeline = search", `kind lookUp pipeline: pipeline "search" is not declared; declared pipelines are book, find`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			set, problems := build(strings.Replace(validDeclarations, test.old, test.new, 1))
			if set != nil {
				t.Fatal("an invalid set was built")
			}
			if !strings.Contains(problems, test.want) {
				t.Errorf("problems:\n%s\nwant %s", problems, test.want)
			}
		})
	}
}

func TestKeyHashesAreNotLeakedOrShared(t *testing.T) {
	_, problems := build(validDeclarations + "[organisation a]\nkeyHashes = my-secret-key\n")
	if strings.Contains(problems, "my-secret-key") || !strings.Contains(problems, "is not a key hash") {
		t.Errorf("problems: %s", problems)
	}
	h := declare.HashKey("k")
	_, problems = build(validDeclarations + "[organisation a]\nkeyHashes = " + h + "\n[organisation b]\nkeyHashes = " + h + "\n")
	if !strings.Contains(problems, `the key already belongs to organisation "a"`) {
		t.Errorf("problems: %s", problems)
	}
}

func TestBuildReportsDuplicateSections(t *testing.T) {
	_, problems := declare.Build([]declare.Fragment{{Name: "a.ini", Data: []byte(validDeclarations)}, {Name: "b.ini", Data: []byte("[stage encode]\n")}})
	if want := "b.ini:1: stage encode: it stands already in a.ini:5"; !strings.Contains(problems.Error(), want) {
		t.Errorf("problems: %s", problems.Error())
	}
}

func ExampleHashKey() {
	fmt.Println(declare.HashKey("example")[:20])
	// Output: sha256:50d858e0985ec
}
