package fleetconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

func TestEveryErrorIsReportedWithItsPath(t *testing.T) {
	for _, example := range []struct {
		name     string
		document string
		paths    []string
	}{
		{"not JSON", `{"bindings":`, []string{"$"}},
		{"not an object", `[]`, []string{"$"}},
		{"an empty document", `{}`, []string{"bindings"}},
		{"unknown fields and wrong types, all at once",
			`{"bindigns":[],"bindings":[{"name":7,"shares":[{"weight":-1,"colour":"red"}],"ttftLimitUs":"soon"}],"policy":{"maxImbalance":"two","ownZoneFirst":1}}`,
			[]string{"bindigns", "bindings[0].name", "bindings[0].shares[0].colour", "bindings[0].shares[0].weight", "bindings[0].ttftLimitUs", "policy.maxImbalance", "policy.ownZoneFirst"}},
		{"values that are not lists", `{"bindings":{},"zones":"z1"}`, []string{"bindings", "zones"}},
		{"values out of range, all at once",
			`{"zones":[{"name":"z1"},{"name":"z1"}],"engines":[{"id":"e 1","address":"host:80","zone":"z9"},{"id":"e2"},{"id":"e2"}],
			  "bindings":[{"name":"a","shares":[]},{"name":"a","match":{"kind":"k"},"shares":[{"weight":0},{"weight":1001,"zone":"z9"}]},{"name":"b","match":{"kind":"k"},"shares":[{"weight":1}]}],
			  "policy":{"prefixLength":0,"maxImbalance":0.5,"retryRatio":0.2,"rampStreams":0}}`,
			[]string{"zones[1].name", "engines[0].id", "engines[0].address", "engines[0].zone", "engines[2].id", "bindings[0].shares", "bindings[1].name",
				"bindings[1].shares[0].weight", "bindings[1].shares[1].weight", "bindings[1].shares[1].zone", "bindings[2].match",
				"policy.prefixLength", "policy.maxImbalance", "policy.retryRatio", "policy.rampStreams"}},
		{"the same key twice", `{"bindings":[{"name":"a","name":"b","shares":[{"weight":1}]}]}`, []string{"$"}},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Read([]byte(example.document))
			var problems *InvalidConfigError
			c.Assert(errors.As(err, &problems), qt.IsTrue, qt.Commentf("%v", err))
			paths := []string{}
			for _, problem := range problems.List {
				paths = append(paths, problem.Path)
			}
			c.Assert(paths, qt.DeepEquals, example.paths)
		})
	}
}

func TestTheFirstBindingThatFitsIsTaken(t *testing.T) {
	c := qt.New(t)
	config, err := Read([]byte(`{"bindings":[
		{"name":"quotes","match":{"kind":"quote"},"shares":[{"engine":"e1","weight":7},{"pool":"fast","weight":3},{"zone":"z1","weight":1}],"ttftLimitUs":1500000},
		{"name":"big-quotes","match":{"kind":"quote","model":"big"},"shares":[{"weight":1}]},
		{"name":"big","match":{"model":"big"},"shares":[{"weight":1}]}]}`))
	c.Assert(err, qt.IsNil)
	for _, example := range []struct{ kind, model, want string }{
		{"quote", "", "quotes"}, {"quote", "big", "quotes"}, {"", "big", "big"}, {"other", "big", "big"}, {"other", "small", ""},
	} {
		binding, isBound := config.Bind(example.kind, example.model)
		c.Assert(isBound, qt.Equals, example.want != "")
		if isBound {
			c.Assert(binding.Name, qt.Equals, example.want)
		}
	}
	quotes, _ := config.Bind("quote", "")
	c.Assert(quotes.TTFTLimit, qt.Equals, 1500*kernel.Millisecond)
	c.Assert(quotes.Weight("e1", "fast", "z1"), qt.Equals, uint32(7))
	c.Assert(quotes.Weight("e2", "fast", "z1"), qt.Equals, uint32(3))
	c.Assert(quotes.Weight("e2", "slow", "z1"), qt.Equals, uint32(1))
	c.Assert(quotes.Weight("e2", "slow", "z2"), qt.Equals, uint32(0))
}

func TestDefaultsOfThePolicy(t *testing.T) {
	c := qt.New(t)
	config, err := Read([]byte(`{"bindings":[{"name":"a","shares":[{"weight":1}]}],"policy":{"rampTotalUs":0}}`))
	c.Assert(err, qt.IsNil)
	c.Assert(config.Policy.PrefixLength, qt.Equals, 64)
	c.Assert(config.Policy.MaxImbalance, qt.Equals, 2.0)
	// A field that is set to zero does not get its default.
	c.Assert(config.Policy.RampDuration, qt.Equals, kernel.Micros(0))
}

func TestLargeConfigsWorkUpToTheBound(t *testing.T) {
	c := qt.New(t)
	large := func(count int) []byte {
		text := strings.Builder{}
		text.WriteString(`{"bindings":[`)
		for i := range count {
			if i > 0 {
				text.WriteByte(',')
			}
			fmt.Fprintf(&text, `{"name":"binding-%d","match":{"kind":"kind-%d","model":"some model of a longer name"},"shares":[{"pool":"main","weight":10}]}`, i, i)
		}
		text.WriteString(`]}`)
		return []byte(text.String())
	}
	document := large(20000)
	c.Assert(len(document) > 2<<20, qt.IsTrue)
	config, err := Read(document)
	c.Assert(err, qt.IsNil)
	binding, isBound := config.Bind("kind-19999", "some model of a longer name")
	c.Assert(isBound, qt.IsTrue)
	c.Assert(binding.Name, qt.Equals, "binding-19999")
	// A document is compiled once per process, however often it is read.
	compiler := &Compiler{}
	first, err := compiler.Read(document)
	c.Assert(err, qt.IsNil)
	again, err := compiler.Read(append([]byte(nil), document...))
	c.Assert(err, qt.IsNil)
	c.Assert(again == first, qt.IsTrue)
	_, err = compiler.Read([]byte(`{}`))
	c.Assert(err, qt.IsNotNil)
	for i := range 10 {
		_, err = compiler.Read(fmt.Appendf(nil, `{"bindings":[{"name":"b%d","shares":[{"weight":1}]}]}`, i))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(len(compiler.compiled.values), qt.Equals, maxCompiled)
	var above TooLargeError
	_, err = Read(large(20001))
	c.Assert(errors.As(err, &above), qt.IsTrue)
	c.Assert(above.Quantity, qt.Equals, "bindings")
	_, err = Read(make([]byte, MaxBytes+1))
	c.Assert(errors.As(err, &above), qt.IsTrue)
}
