package delta_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"chervilpath/core/delta"
)

const limit = 4 << 20

// configuration returns a text with the given number of routes, of which the
// changed ones differ between versions.
func configuration(routes, version int, changed ...int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		timeout := 3000
		for _, c := range changed {
			if c == i {
				timeout += version
			}
		}
		fmt.Fprintf(&b, `{"name":"r-%d-%x","host":"h%d.example","pathPrefix":"/p%x/%d/","kind":"streaming","service":"s-%d","timeoutMs":%d,"stages":[{"service":"p","after":[]}]},`,
			i, rng.Uint32(), i%40, rng.Uint32(), i, i%5, timeout)
	}
	return append([]byte(strings.TrimSuffix(b.String(), ",")), `],"limits":{"maxHeaderBytes":16384}}`...)
}

// Pattern: a configuration of 3,300 routes changes while links have 20 Mbit/s. A
// change of a few routes is sent in a few hundred bytes instead of 600,000.
func TestDeltaOfFewRoutesIsSmall(t *testing.T) {
	old, text := configuration(3300, 1, 7, 1000, 3299), configuration(3300, 2, 7, 1000, 3299)
	d := delta.Make(old, text)
	if len(d) > 1500 {
		t.Errorf("3 of 3300 routes changed: the delta has %d of %d bytes", len(d), len(text))
	}
	got, err := delta.Apply(old, d, limit)
	if err != nil || !bytes.Equal(got, text) {
		t.Errorf("Apply() yields %d bytes, error %v", len(got), err)
	}
}

func TestDeltaForAnotherTextIsRefused(t *testing.T) {
	d := delta.Make(configuration(10, 1), configuration(10, 2))
	if _, err := delta.Apply(configuration(10, 3), d, limit); !errors.Is(err, delta.ErrBase) {
		t.Errorf("error %v, want ErrBase", err)
	}
	if _, err := delta.Apply(configuration(10, 1), d, 100); err == nil {
		t.Error("a text above the limit is accepted")
	}
}

func TestApplyYieldsTheNewText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.StringMatching(`\{"[a-c]{1,80}"\}|[a-c}]{0,20}`)
		join := func(label string) []byte {
			return []byte(strings.Join(rapid.SliceOfN(record, 0, 30).Draw(t, label), ","))
		}
		old, text := join("old"), join("new")
		got, err := delta.Apply(old, delta.Make(old, text), limit)
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("Apply() = %q, error %v, want %q", got, err, text)
		}
	})
}

// Bytes that are no delta, or a damaged one, yield an error and never another text.
func FuzzApply(f *testing.F) {
	old, text := configuration(5, 1, 2), configuration(5, 2, 2)
	f.Add(delta.Make(old, text))
	f.Add(delta.Make(nil, text))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, d []byte) {
		got, err := delta.Apply(old, d, 1<<20)
		if err == nil && len(d) >= 16 && !bytes.Equal(got, text) && delta.Digest(got) == delta.Digest(text) {
			t.Errorf("another text with the digest of the new one")
		}
	})
}

func BenchmarkMake(b *testing.B) {
	for _, routes := range []int{330, 3300} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			old, text := configuration(routes, 1, 7), configuration(routes, 2, 7)
			b.ReportMetric(float64(len(delta.Make(old, text))), "deltaBytes")
			for b.Loop() {
				delta.Make(old, text)
			}
		})
	}
}
