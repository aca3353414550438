package localfleet

// The operator as a client of a register: it reads the newest configuration at any node, and sends
// acknowledged orders again, as if their answer had been lost on its way.

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/server"
	"dunlinloom/test/checker"
)

const (
	readPauseMS   = 500
	readTimeout   = 6 * time.Second
	repeatPauseMS = 1000
	resendPauseMS = 300
)

// operation is one request of an operator, which may be sent again as it was.
type operation struct {
	id, method, path string
	body             []byte
}

// send gives an order to a node; without an error its answer was read, and may still be unclear.
func (order operation) send(ctx context.Context, node *process) (cluster.SubmitResponse, error) {
	var reply cluster.SubmitResponse
	_, _, got, err := request(ctx, order.method, "http://"+node.public+order.path, order.body, map[string]string{server.HeaderSubmission: order.id})
	if err != nil {
		return reply, err
	}
	if err := json.Unmarshal(got, &reply); err != nil {
		return reply, ClusterError{"read the reply to " + order.id, err}
	}
	return reply, nil
}

// readNewest reads the newest configuration again and again until the context ends.
func (operator *Operator) readNewest(ctx context.Context) {
	for ctx.Err() == nil {
		operator.readNewestOnce(ctx, operator.node())
		pause(ctx, readPauseMS)
	}
}

// readNewestOnce asks one node, which may be down or cut off; then nothing was seen.
func (operator *Operator) readNewestOnce(ctx context.Context, node *process) {
	limit, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := now()
	status, headers, got, err := request(limit, http.MethodGet, "http://"+node.public+"/v1/spec?newest", nil, nil)
	if err != nil || status != http.StatusOK {
		return
	}
	revision, err := strconv.ParseUint(headers.Get(relay.HeaderRevision), 10, 64)
	if err != nil {
		operator.cluster.addFailure("%s answers a read without a revision: %v", node.name, err)
		return
	}
	operator.count("newest read")
	operator.cluster.record(checker.Event{At: now(), EventKind: checker.NewestRead, Node: node.public, StartedAt: began, Revision: revision, Digest: digest(got)})
}

// repeat sends an acknowledged order again, once. No answer and no clear one are none that it may not get.
func (operator *Operator) repeat(ctx context.Context, acknowledged operation) {
	pause(ctx, repeatPauseMS)
	node := operator.node()
	reply, err := acknowledged.send(ctx, node)
	if err != nil {
		return
	}
	event := checker.Event{At: now(), EventKind: checker.RepeatAccepted, Node: node.public, ID: acknowledged.id, Revision: reply.Revision}
	switch reply.Outcome {
	case cluster.Accepted:
	case cluster.Rejected:
		event.EventKind, event.Reason = checker.RepeatRejected, reply.Reason
	default:
		return
	}
	operator.count("repeat " + string(reply.Outcome))
	operator.cluster.record(event)
}
