package declare_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"chervilpath/core/declare"
)

// organisationFiles returns fragments that declare n organisations, 1,000 in
// each.
func organisationFiles(n int) []declare.Fragment {
	var out []declare.Fragment
	for i := 0; i < n; i += 1000 {
		var b strings.Builder
		for j := i; j < min(n, i+1000); j++ {
			fmt.Fprintf(&b, "[organisation organisation-%d]\nkeyHashes = %s\nshare = 2\n\n", j, declare.HashKey(fmt.Sprint("key", j)))
		}
		out = append(out, declare.Fragment{Name: fmt.Sprintf("organisations-%03d.ini", i/1000), Data: []byte(b.String())})
	}
	return out
}

// fleetFile returns a fragment that declares 26 stages, 12 pipelines and the
// given number of endpoints, the size for which the system is designed.
func fleetFile(endpoints int) declare.Fragment {
	var b strings.Builder
	for i := range 26 {
		fmt.Fprintf(&b, "[stage s%d]\nunit = tokens\nmodel = m%d\n", i, i)
	}
	for i := range 12 {
		fmt.Fprintf(&b, "[pipeline p%d]\nstages = s%d, s%d, s%d, s%d\n[kind k%d]\npipeline = p%d\n", i, i, i+3, i+7, i+14, i, i)
	}
	for i := range endpoints {
		fmt.Fprintf(&b, "[endpoint e%d]\naddress = http://10.0.0.1:%d\nkind = engine\nstages = s%d\nfailureDomain = d%d\nslots = 64\nmodels = m%d\n", i, 1000+i, i%26, i%4, i%26)
	}
	return declare.Fragment{Name: "fleet.ini", Data: []byte(b.String())}
}

// BenchmarkDeclarations measures a revision with 30,000 organisations and 650
// endpoints: its memory, the time to apply a change of one file, and the time
// to look up an API key.
func BenchmarkDeclarations(b *testing.B) {
	files := append(organisationFiles(30000), fleetFile(650))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var parsed []*declare.ParsedFragment
	for _, f := range files {
		p, problems := declare.Parse(f)
		if len(problems) > 0 {
			b.Fatal(problems)
		}
		parsed = append(parsed, p)
	}
	set, problems := declare.Combine(parsed)
	if set == nil {
		b.Fatal(problems)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("changeOfOneFile", func(b *testing.B) {
		for b.Loop() {
			p, _ := declare.Parse(files[0])
			parsed[0] = p
			if s, _ := declare.Combine(parsed); s == nil {
				b.Fatal("invalid")
			}
		}
		b.ReportMetric(float64(after.HeapInuse-before.HeapInuse)/(1<<20), "MB")
	})
	b.Run("authenticate", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, ok := set.Authenticate("key29999"); !ok {
				b.Fatal("unknown key")
			}
		}
	})
	runtime.KeepAlive(parsed)
}
