package modelcheck

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Found is a violation and the trace that leads to it.
type Found struct {
	Scenario  Scenario
	Violation ViolationError
	Trace     Trace
	Steps     int
	States    int // the number of states visited before it was found
}

// Result is the outcome of a search.
type Result struct {
	States   int // the number of distinct states visited
	Runs     int
	Depth    int // the number of steps of the longest run
	Steps    int // the number of steps of all random runs
	Complete int // all runs with up to this many deviations were explored
	Found    *Found
	Err      error // an UndecidedRunError: a run could not be decided, and the search ended there
}

// UndecidedRunError reports a run that could not be decided: it was shown neither to violate an invariant nor
// to satisfy all of them.
type UndecidedRunError struct {
	Scenario string
	Trace    Trace
	Cause    error
}

func (err UndecidedRunError) Error() string {
	return fmt.Sprintf("check the run of scenario %q with trace %q: undecided: %v", err.Scenario, err.Trace, err.Cause)
}

// Unwrap returns the cause.
func (err UndecidedRunError) Unwrap() error { return err.Cause }

// Bounds limit a search.
type Bounds struct {
	Deviations int         // per run of an exhaustive search
	States     int         // to visit; zero: unlimited
	Runs       int         // random runs; zero: unlimited. If set, walks do not count states.
	IsOver     func() bool // called between runs to end the search early; may be nil
}

func (b Bounds) isOver(states int) bool {
	return b.States > 0 && states >= b.States || b.IsOver != nil && b.IsOver()
}

// path is the last deviation of a run, linked to the deviations before it.
type path struct {
	before    *path
	deviation Deviation
	length    int
}

func (p *path) trace() Trace {
	trace := Trace{}
	for ; p != nil && p.length > 0; p = p.before {
		trace = append(trace, p.deviation)
	}
	slices.Reverse(trace)
	return trace
}

// explorer is an exhaustive breadth-first search over all runs with few deviations, the fewest first. A run
// ends at a state that was visited before, because everything that follows that state has been or will be
// explored with no more deviations.
type explorer struct {
	scenario Scenario
	bounds   Bounds
	visited  map[uint64]struct{}
	queue    []*path
	result   Result
}

// Explore searches a scenario exhaustively up to a number of deviations.
func Explore(scenario Scenario, bounds Bounds) Result {
	e := &explorer{scenario: scenario, bounds: bounds, visited: map[uint64]struct{}{}, queue: []*path{{}}}
	for len(e.queue) > 0 && !e.result.isOver() {
		next := e.queue[0]
		e.queue[0] = nil
		e.queue = e.queue[1:]
		e.result.Complete = max(next.length-1, 0)
		if bounds.isOver(len(e.visited)) {
			return e.finish()
		}
		e.explore(next)
	}
	if !e.result.isOver() {
		e.result.Complete = bounds.Deviations
	}
	return e.finish()
}

// isOver reports whether a run has ended the search, because it violated an invariant or could not be decided.
func (r Result) isOver() bool { return r.Found != nil || r.Err != nil }

// recordError records the error of a run, if any. Every error ends the search: a ViolationError as Found, any other
// as an UndecidedRunError.
func (r *Result) recordError(run Found, err error) {
	if err == nil {
		return
	}
	var violation ViolationError
	if !errors.As(err, &violation) {
		r.Err = UndecidedRunError{Scenario: run.Scenario.Name, Trace: run.Trace, Cause: err}
		return
	}
	run.Violation = violation
	r.Found = shorten(run)
}

func (e *explorer) finish() Result {
	e.result.States = len(e.visited)
	return e.result
}

// explore plays one run and queues all runs that deviate once more from the states it is the first to visit.
func (e *explorer) explore(from *path) {
	e.result.Runs++
	trace := from.trace()
	last := -1
	if len(trace) > 0 {
		last = trace[len(trace)-1].Step
	}
	w := NewWorld(e.scenario.Settings)
	var livelock error
	ownStates := map[uint64]bool{} // the states that this run was the first to visit
	visit := func(step int) bool {
		e.result.Depth = max(e.result.Depth, step+1)
		if step < last || w.timeStep < e.scenario.Prologue {
			return true
		}
		state := w.Fingerprint()
		if ownStates[state] {
			// After the last deviation the state alone determines all further steps.
			livelock = violated(RunsEnd, "after step %d the run is again in an earlier state of its own", step)
			return false
		}
		if _, isKnown := e.visited[state]; isKnown {
			return false
		}
		e.visited[state], ownStates[state] = struct{}{}, true
		if from.length < e.bounds.Deviations {
			for _, choice := range w.Choices() {
				e.queue = append(e.queue, &path{from, Deviation{step + 1, choice}, from.length + 1})
			}
		}
		return true
	}
	steps, err := w.Run(trace, e.scenario.MaxTimeSteps, visit)
	if err == nil {
		err = livelock
	}
	if err == nil && w.timeStep >= e.scenario.MaxTimeSteps {
		err = w.checkHistory()
	}
	e.result.recordError(Found{Scenario: e.scenario, Trace: trace, Steps: steps, States: len(e.visited)}, err)
}

// Replay plays a trace and returns the number of steps taken and the violation, if any. logLine, which may be
// nil, is called with each line of the log. The errors are those of World.Step and those of a history that
// could not be decided.
func Replay(scenario Scenario, trace Trace, logLine func(text string)) (steps int, err error) {
	w := NewWorld(scenario.Settings)
	w.Trace = logLine
	steps, err = w.Run(trace, scenario.MaxTimeSteps, nil)
	if err != nil {
		return steps, err
	}
	return steps, w.checkHistory()
}

// shorten removes from a trace every deviation that the violation does not need.
func shorten(found Found) *Found {
	for isShorter := true; isShorter; {
		isShorter = false
		for i := range found.Trace {
			shorter := slices.Delete(slices.Clone(found.Trace), i, i+1)
			steps, err := Replay(found.Scenario, shorter, nil)
			var violation ViolationError
			if errors.As(err, &violation) && violation.Invariant == found.Violation.Invariant {
				found.Trace, found.Violation, found.Steps = shorter, violation, steps
				isShorter = true
				break
			}
		}
	}
	return &found
}

// walk is a random run: each step deviates with a fixed probability.
type walk struct {
	random     *rand.Rand
	trace      Trace
	visited    map[uint64]struct{}
	isCounting bool
}

// weights are the relative frequencies of actions in random walks. Actions not listed have weight one.
var weights = map[Action]int{Deliver: 2, Delay: 3, Duplicate: 2, Release: 4, PassTime: 1, SkewClock: 2, Sync: 2, Start: 4, Resume: 4, Heal: 4}

func (r *walk) draw(choices []Choice) Choice {
	sum := 0
	for _, choice := range choices {
		sum += max(weights[choice.Action], 1)
	}
	drawn := r.random.IntN(sum)
	for _, choice := range choices {
		if drawn -= max(weights[choice.Action], 1); drawn < 0 {
			return choice
		}
	}
	return Choice{}
}

// drawDeviationInterval draws the mean number of steps between the deviations of a walk.
func drawDeviationInterval(random *rand.Rand) int { return []int{4, 8, 16, 32, 64}[random.IntN(5)] }

// Walk plays random runs of a scenario, with consecutive seeds from seed on, until a bound is reached or a run
// ends the search. A run is reproduced by its seed.
func Walk(scenario Scenario, seed uint64, bounds Bounds) Result {
	result, visited := Result{}, map[uint64]struct{}{}
	for ; !bounds.isOver(len(visited)) && !result.isOver(); seed++ {
		if bounds.Runs > 0 && result.Runs >= bounds.Runs {
			break
		}
		run := &walk{random: rand.New(rand.NewPCG(seed, 17)), visited: visited, isCounting: bounds.Runs == 0}
		depth, err := run.play(scenario)
		result.Runs++
		result.Depth = max(result.Depth, depth)
		result.Steps += depth
		result.recordError(Found{Scenario: scenario, Trace: run.trace, Steps: depth, States: len(visited)}, err)
	}
	result.States = len(visited)
	return result
}

// play plays one random run and records its trace. Its errors are those of Replay.
func (r *walk) play(scenario Scenario) (steps int, err error) {
	w := NewWorld(scenario.Settings)
	w.isWithoutFingerprints = !r.isCounting
	every := drawDeviationInterval(r.random)
	for ; w.timeStep < scenario.MaxTimeSteps && steps < maxSteps && err == nil; steps++ {
		choice := Choice{}
		if w.timeStep >= scenario.Prologue && r.random.IntN(every) == 0 {
			choice = r.draw(w.Choices())
			r.trace = append(r.trace, Deviation{steps, choice})
		}
		if err = w.Step(choice); err == nil && r.isCounting {
			r.visited[w.Fingerprint()] = struct{}{}
		}
	}
	if err == nil {
		err = runEnds(w, scenario.MaxTimeSteps)
	}
	if err == nil {
		err = w.checkHistory()
	}
	return steps, err
}

func (f Found) String() string {
	return fmt.Sprintf("%s\n  in %q, after %d steps with %d deviations\n  trace: %s", f.Violation, f.Scenario.Name, f.Steps, len(f.Trace), f.Trace)
}
