package option_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chervilpath/core/option"
)

var table = option.Table{
	Title: "Test options",
	Sections: []option.Section{{
		Kind: "endpoint", Named: true,
		Options: []option.Option{
			{Key: "address", Kind: option.Address, Required: true},
			{Key: "limit", Kind: option.Duration, Default: "2s", Min: 0.001, Max: 60},
			{Key: "buffer", Kind: option.Size, Default: "4KB"},
			{Key: "models", Kind: option.NameList},
			{Key: "fenced", Kind: option.Flag, Default: "no"},
			{Key: "role", Kind: option.Choice, Choices: []string{"prefill", "decode"}, Default: "decode"},
		},
	}},
}

func TestParseReadsValuesAndDefaults(t *testing.T) {
	blocks, problems := table.Parse("a.ini", []byte("[endpoint e1]\naddress = 127.0.0.1:80 ; inline\nmodels = a, b\nfenced = yes\n"))
	if problems.Err() != nil {
		t.Fatal(problems)
	}
	b := blocks[0]
	if b.Name() != "e1" || b.Text("address") != "127.0.0.1:80" || b.Duration("limit") != 2*time.Second ||
		b.Bytes("buffer") != 4096 || len(b.List("models")) != 2 || !b.Flag("fenced") || b.Text("role") != "decode" {
		t.Errorf("parsed block %+v", b)
	}
}

func TestParseReportsEveryProblemWithItsLine(t *testing.T) {
	src := `[endpoint e1]
address = here
limit = 5
limitt = 3s
[endpoint e 2]
address = 127.0.0.1:1
fenced = true
role = other
[endpoint e3]
buffer = 12
[queue q]
size = 1
[endpoint e1]
`
	_, problems := table.Parse("a.ini", []byte(src))
	want := []string{
		`a.ini:2: endpoint e1 address: "here" is not an address`,
		`a.ini:3: endpoint e1 limit: "5" is not a duration; write a duration with its unit, such as 250ms or 3s from 1ms to 1m0s`,
		`a.ini:4: endpoint e1 limitt: the key is not known; write one of address, limit`,
		`a.ini:5: endpoint e 2: the section's name "e 2" is not a valid name`,
		`a.ini:7: endpoint e 2 fenced: "true" is not a flag; write yes or no`,
		`a.ini:8: endpoint e 2 role: "other" is not known; write one of prefill, decode`,
		`a.ini:9: endpoint e3 address: the key is missing; write an IP address`,
		`a.ini:10: endpoint e3 buffer: "12" is not a size`,
		`a.ini:11: queue q: the section is not known; write one of endpoint`,
		`a.ini:13: endpoint e1: it is already defined on line 1`,
	}
	got := strings.Split(problems.Error(), "\n")
	if len(got) != len(want) {
		t.Fatalf("%d problems, want %d:\n%s", len(got), len(want), problems.Error())
	}
	for i := range want {
		if !strings.HasPrefix(got[i], want[i]) {
			t.Errorf("problem %d = %s\nwant prefix %s", i, got[i], want[i])
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[endpoint e]\naddress=127.0.0.1:1"))
	f.Add([]byte("=\n[\n]]\n\"\"\"\n`"))
	f.Add([]byte("[endpoint e]\nlimit = 1e999999h\nbuffer = NaNKB"))
	f.Fuzz(func(t *testing.T, data []byte) {
		blocks, problems := table.Parse("f.ini", data)
		for _, p := range problems {
			if p.Line < 1 || p.Message == "" {
				t.Errorf("problem without a line or message: %+v", p)
			}
		}
		for _, b := range blocks {
			if b.Duration("limit") <= 0 || b.Text("address") == "" {
				t.Errorf("an invalid block was accepted: %+v", b)
			}
		}
	})
}

func ExampleProblem_String() {
	p := option.Problem{File: "quote.ini", Line: 4, Section: "stage encode", Key: "price", Message: "the key is missing; write a number"}
	fmt.Println(p)
	// Output: quote.ini:4: stage encode price: the key is missing; write a number
}
