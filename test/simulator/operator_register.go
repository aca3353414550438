package simulator

// The simulated operator as a client of a linearizable register: it reads the newest configuration
// at any node, and resends acknowledged submissions, as if their responses had been lost.

import (
	"math/rand/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

const (
	readTimeout = 5 * sec
	// registerStream selects a random source separate from that of the faults, so that the reads
	// and repeats do not change which faults are drawn.
	registerStream = 0x0b5
)

// registerClient reads configurations and resends submissions; a nil client does neither.
type registerClient struct {
	operator  *operator
	random    *rand.Rand
	lastToken uint64
}

// readAndResubmit starts the reads and resends, which continue until the end of the run.
func (o *operator) readAndResubmit() {
	o.register = &registerClient{operator: o, random: rand.New(rand.NewPCG(o.world.Seed, registerStream))}
	o.register.keepReading()
}

func (r *registerClient) between(low, high kernel.Micros) kernel.Micros {
	return low + kernel.Micros(r.random.Int64N(int64(high-low)+1))
}

func (r *registerClient) drawMachine() *machine {
	machines := r.operator.world.machines
	return machines[r.random.IntN(len(machines))]
}

func (r *registerClient) keepReading() {
	r.read(r.drawMachine())
	r.operator.world.after(r.between(400*ms, 1600*ms), r.keepReading)
}

// read requests the newest configuration from a machine, and cancels the read after readTimeout.
func (r *registerClient) read(m *machine) {
	w, began := r.operator.world, r.operator.world.now
	r.lastToken++
	token := r.lastToken
	m.do(func() {
		m.newestReads[token] = func(document *cluster.Document) {
			w.ProtectionCounts["newest reads"]++
			w.record(checker.Event{
				EventKind: checker.NewestRead, Node: m.name, StartedAt: began, Revision: document.ConfigRevision, Digest: string(document.Config),
			})
		}
		m.later(readTimeout, func() {
			if m.newestReads[token] != nil {
				delete(m.newestReads, token)
				m.execute(m.node.CancelRead(m.clock(), token))
			}
		})
		m.execute(m.node.Read(m.clock(), token))
	})
}

// onAccepted schedules the resend of a submission that was acknowledged.
func (r *registerClient) onAccepted(submit cluster.Submit) {
	if r == nil {
		return
	}
	r.operator.world.after(r.between(50*ms, 4*sec), func() { r.resend(r.drawMachine(), submit) })
}

// resend resends an acknowledged submission once. An unknown outcome is allowed.
func (r *registerClient) resend(m *machine, submit cluster.Submit) {
	w := r.operator.world
	m.do(func() {
		m.replies[submit.ID] = func(reply cluster.SubmitResponse) {
			event := checker.Event{EventKind: checker.RepeatAccepted, Node: m.name, ID: reply.ID, Revision: reply.Revision}
			switch reply.Outcome {
			case cluster.Rejected:
				event.EventKind, event.Reason = checker.RepeatRejected, reply.Reason
			case cluster.Unknown:
				return
			}
			w.ProtectionCounts["orders repeated"]++
			w.record(event)
		}
		m.execute(m.node.Submit(m.clock(), &submit))
	})
}
