package modelcheck

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// operators models the operators, who put configurations, two on each version that they know, and read the
// newest configuration.
type operators struct {
	Puts  []put
	Reads []read
	Asks  uint64
}

// put is one submission: a compare-and-set of the configuration on the version Base.
type put struct {
	Base    uint64
	Began   int // the number of the call in the history
	Ended   bool
	Outcome cluster.Outcome
}

// read is one read of the newest configuration, or a request for a lease.
type read struct {
	Floor   uint64 // the newest revision acknowledged before it began
	Began   int
	Ended   bool
	Version uint64
}

const (
	// maxPuts is the largest number of submissions in one run.
	maxPuts = 8
	// resendEvery is the number of time steps after which a submission without a response is retried.
	resendEvery = 3
)

func putID(index int) string { return fmt.Sprintf("put-%d", index) }

func configOf(index int) []byte { return fmt.Appendf(nil, "config %d", index) }

// operate performs the operators' steps at the end of a time step. Every member that believes it is the leader
// gets a read and a lease request. Puts are submitted in pairs on one version, the first to the leader of the
// newest term and the second to another one if there is one. Both are retried until they have a response.
func (w *World) operate() {
	leaders := w.leaders()
	if len(leaders) == 0 {
		return
	}
	for _, p := range leaders {
		w.beginRead(p)
	}
	switch w.timeStep % resendEvery {
	case 0:
		if w.timeStep >= w.settings.OperationsFromStep && w.arePutsAnswered() && len(w.operators.Puts) < maxPuts {
			base := w.observer.newestVersion
			w.beginPut(leaders[0], base)
			w.beginPut(leaders[len(leaders)-1], base)
		}
	case 1:
		for index, submission := range w.operators.Puts {
			if !submission.Ended {
				w.sendPut(leaders[0], index)
			}
		}
	}
}

// leaders returns the processes that believe they are the leader, the one of the newest term first.
func (w *World) leaders() []*process {
	found := []*process{}
	for _, p := range w.processes {
		if !p.isUp {
			continue
		}
		state := p.core.Inspect()
		if !state.IsLeader {
			continue
		}
		if len(found) > 0 && state.Term > found[0].core.Inspect().Term {
			found = append([]*process{p}, found...)
			continue
		}
		found = append(found, p)
	}
	return found
}

func (w *World) arePutsAnswered() bool {
	for _, submission := range w.operators.Puts {
		if !submission.Ended {
			return false
		}
	}
	return true
}

func (w *World) beginPut(p *process, base uint64) {
	w.operators.Puts = append(w.operators.Puts, put{Base: base, Began: w.observer.tick()})
	w.sendPut(p, len(w.operators.Puts)-1)
}

func (w *World) sendPut(p *process, index int) {
	base := w.operators.Puts[index].Base
	w.enqueue(-1, p.address, wire.Message{Submit: &cluster.Submit{
		ID: putID(index), Operation: cluster.PutConfig, Config: configOf(index), BaseVersion: &base,
	}})
}

func (w *World) beginRead(p *process) {
	o := &w.operators
	o.Reads = append(o.Reads, read{Floor: w.observer.acknowledged, Began: w.observer.tick()})
	token := uint64(len(o.Reads))
	w.enqueue(-1, p.address, wire.Message{ReadRequest: &wire.ReadRequest{Token: token}})
	w.enqueue(-1, p.address, wire.Message{LeaseRequestBatch: &wire.LeaseRequestBatch{
		Requests: []wire.RouterLeaseRequest{{Address: operatorAddress, Seq: token}},
	}})
}

// digest hashes all puts and the unanswered reads. The numbers of calls are left out, because histories are
// checked at the end of complete runs and not for each state.
func (o operators) digest(d *digester) {
	for _, submission := range o.Puts {
		d.number(submission.Base)
		d.text(string(submission.Outcome))
	}
	for index, read := range o.Reads {
		if !read.Ended {
			d.number(uint64(index))
			d.number(read.Floor)
		}
	}
	d.number(uint64(len(o.Reads)))
}
