package localfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/loadgen"
)

// Run starts the fleet, runs a scenario against it, and returns the checked result. It closes the cluster.
func Run(ctx context.Context, cluster *Cluster, scenario *Scenario, logf func(string, ...any)) (*Report, error) {
	defer cluster.Close()
	if scenario.needsFaults() {
		if err := cluster.checkFaultSupport(); err != nil {
			return nil, err
		}
	}
	logf("starting fleet %s: %d nodes, %d engines", cluster.deployment.Name, len(cluster.nodes), len(cluster.engines))
	if err := cluster.Open(ctx); err != nil {
		return nil, err
	}
	operator := &Operator{cluster: cluster, random: rand.New(rand.NewPCG(scenario.Seed, 7)), acknowledged: map[uint64]string{}, orders: map[string]int{}}
	operator.putConfig(ctx, 0, noBase)
	opening, cancel := context.WithTimeout(ctx, 60*time.Second)
	err := cluster.Ready(opening)
	cancel()
	if err != nil {
		return nil, err
	}
	logf("all nodes are ready")

	span := kernel.Micros(scenario.SpanMS) * kernel.Millisecond
	background, end := context.WithCancel(ctx)
	defer end()
	var workers sync.WaitGroup
	workers.Go(func() {
		for background.Err() == nil {
			cluster.scrape(background)
			select {
			case <-background.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	workers.Go(func() { operator.readNewest(background) })
	callsLog := filepath.Join(cluster.folder, "calls.jsonl")
	callers, err := cluster.startLoadgen(scenario, callsLog, "c", scenario.Rate, scenario.Hot, scenario.SpanMS)
	if err != nil {
		return nil, err
	}
	cluster.applySteps(background, scenario, operator, logf)
	// The load generator exits by itself after the span and the time limit of its open streams.
	select {
	case <-callers.Ended():
	case <-time.After(span.Duration() + 60*time.Second):
		cluster.addFailure("the load generator did not exit in time")
		callers.halt()
	}
	logf("the load generator has finished")
	operator.repeats.Wait()
	operator.readBack(ctx)
	operator.readCurrent(ctx)
	cluster.scrape(ctx)
	end()
	workers.Wait()
	if err := ctx.Err(); err != nil {
		// The events of a canceled run are incomplete, so they are not checked.
		return nil, ClusterError{"complete the scenario", err}
	}
	return cluster.report(scenario, operator, callsLog)
}

func (cluster *Cluster) startLoadgen(scenario *Scenario, log, name string, rate, hot float64, spanMS int64) (*process, error) {
	arguments := []string{"--kinds", scenario.Deployment, "--rate", fmt.Sprint(rate), "--span-us", fmt.Sprint(spanMS * 1000), "--prefix", name,
		"--seed", fmt.Sprint(scenario.Seed), "--hot", fmt.Sprint(hot), "--log", log, "--nodes-file", cluster.nodesFile()}
	if err := cluster.writeNodes(); err != nil {
		return nil, err
	}
	loadgen := &process{name: "loadgen-" + name, program: programLoadgen, arguments: arguments}
	return loadgen, cluster.start(loadgen)
}

func (cluster *Cluster) nodesFile() string { return filepath.Join(cluster.folder, "nodes.json") }

// writeNodes writes the list of current nodes to the file that load generators read.
func (cluster *Cluster) writeNodes() error {
	nodes := []loadgen.Node{}
	for _, node := range cluster.members() {
		nodes = append(nodes, loadgen.Node{Address: node.public, Zone: node.zone})
	}
	content, err := json.Marshal(nodes)
	if err != nil {
		return ClusterError{"encode the nodes", err}
	}
	return replaceFile(cluster.nodesFile(), content)
}

// applySteps starts the scenario's steps, each at its time, and waits until all have finished.
func (cluster *Cluster) applySteps(ctx context.Context, scenario *Scenario, operator *Operator, logf func(string, ...any)) {
	begun := time.Now()
	var steps sync.WaitGroup
	defer steps.Wait()
	number := 0
	for _, step := range scenario.Steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begun.Add(time.Duration(step.AtMS) * time.Millisecond))):
		}
		first := number + 1
		number += max(step.Count, 2)
		steps.Go(func() {
			logf("%6d ms  %s %s", step.AtMS, step.Do, step.Target)
			if isFaultVerb(step.Do) {
				cluster.record(checker.Event{At: now(), EventKind: checker.FaultInjected, Reason: strings.TrimSpace(step.Do + " " + step.Target)})
			}
			run := stepRun{cluster: cluster, operator: operator, step: step, number: first}
			if err := run.apply(ctx); err != nil {
				cluster.addFailure("step at %d ms, %s %s: %v", step.AtMS, step.Do, step.Target, err)
			}
		})
	}
}
