package loadgen

import (
	"math/rand/v2"
	"strings"
)

// Kind describes one kind of request. Lengths are in tokens.
type Kind struct {
	Name       string  `json:"name"`
	Share      float64 `json:"share"`    // fraction of all requests
	Prefixes   int     `json:"prefixes"` // number of different shared prefixes
	Hot        float64 `json:"hot"`      // fraction of requests that use the first prefix, in addition to its equal share
	PrefixLen  int     `json:"prefix_len"`
	PromptLow  int     `json:"prompt_low"` // tokens after the prefix
	PromptHigh int     `json:"prompt_high"`
	OutLow     int     `json:"out_low"`
	OutHigh    int     `json:"out_high"`
	IsPlain    bool    `json:"plain,omitempty"` // not streamed
}

// Kinds of the two deployments. They must not be changed.
var (
	Qurum = []Kind{
		{Name: "writeup", Share: 0.35, Prefixes: 8, PrefixLen: 96, PromptLow: 300, PromptHigh: 900, OutLow: 20, OutHigh: 60},
		{Name: "quote", Share: 0.45, Prefixes: 12, PrefixLen: 80, PromptLow: 10, PromptHigh: 60, OutLow: 5, OutHigh: 20},
		{Name: "teardown", Share: 0.2, Prefixes: 6, PrefixLen: 128, PromptLow: 40, PromptHigh: 200, OutLow: 150, OutHigh: 400},
	}
	Cronometro = []Kind{
		{Name: "review", Share: 0.3, Prefixes: 8, PrefixLen: 96, PromptLow: 300, PromptHigh: 800, OutLow: 30, OutHigh: 80},
		{Name: "rules", Share: 0.5, Prefixes: 10, PrefixLen: 80, PromptLow: 8, PromptHigh: 50, OutLow: 5, OutHigh: 20},
		{Name: "commentary", Share: 0.2, Prefixes: 6, PrefixLen: 128, PromptLow: 20, PromptHigh: 120, OutLow: 150, OutHigh: 400},
	}
)

// pickKind draws a kind at random according to the shares.
func pickKind(random *rand.Rand, kinds []Kind) Kind {
	draw := random.Float64()
	for _, kind := range kinds {
		if draw < kind.Share {
			return kind
		}
		draw -= kind.Share
	}
	return kinds[len(kinds)-1]
}

// KindsOf returns the kinds of a deployment by its name, which is not case-sensitive, and reports whether the
// deployment exists.
func KindsOf(name string) ([]Kind, bool) {
	switch strings.ToLower(name) {
	case "qurum":
		return Qurum, true
	case "cronometro":
		return Cronometro, true
	}
	return nil, false
}

// vocabulary is the exclusive upper bound of token IDs.
const vocabulary = 50000

// Request is one request to send.
type Request struct {
	Tag    string // identifies the request in the events of the caller and of the engines
	Kind   string
	Prompt []uint32 // tokens
	Out    int      // number of output tokens
	Plain  bool     // not streamed
}

// NewRequest draws a request of a kind.
func NewRequest(random *rand.Rand, kind Kind, tag string) Request {
	request := Request{Tag: tag, Kind: kind.Name, Plain: kind.IsPlain}
	prefix := random.IntN(max(kind.Prefixes, 1))
	if random.Float64() < kind.Hot {
		prefix = 0
	}
	// The shared prefix depends only on the kind and the prefix number, so that it is the same in every run.
	shared := rand.New(rand.NewPCG(uint64(prefix), uint64(len(kind.Name))<<32|uint64(kind.Name[0])))
	for range kind.PrefixLen {
		request.Prompt = append(request.Prompt, shared.Uint32N(vocabulary))
	}
	for range kind.PromptLow + random.IntN(kind.PromptHigh-kind.PromptLow+1) {
		request.Prompt = append(request.Prompt, random.Uint32N(vocabulary))
	}
	request.Out = kind.OutLow + random.IntN(kind.OutHigh-kind.OutLow+1)
	return request
}
