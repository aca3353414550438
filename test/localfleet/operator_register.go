package localfleet

// This file uses the configuration as a register for the linearizability check: the operator reads the newest
// configuration at any node, and repeats acknowledged operations as if their response had been lost.

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

// operation is one request of an operator, which may be repeated unchanged.
type operation struct {
	id, method, path string
	body             []byte
}

// send submits the operation to a node. A nil error means that the response was decoded; its outcome may still be
// neither accepted nor rejected.
func (order operation) send(ctx context.Context, node *process) (cluster.SubmitResponse, error) {
	var reply cluster.SubmitResponse
	_, _, got, err := request(ctx, order.method, "http://"+node.public+order.path, order.body, map[string]string{server.HeaderSubmission: order.id})
	if err != nil {
		return reply, err
	}
	if err := json.Unmarshal(got, &reply); err != nil {
		return reply, ClusterError{"decode the response to " + order.id, err}
	}
	return reply, nil
}

// readNewest periodically reads the newest configuration until the context ends.
func (operator *Operator) readNewest(ctx context.Context) {
	for ctx.Err() == nil {
		operator.readNewestOnce(ctx, operator.node())
		pause(ctx, readPauseMS)
	}
}

// readNewestOnce reads the newest configuration at one node. It records nothing if the node is down or cut off.
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
		operator.cluster.addFailure("%s responded to a read without a valid revision: %v", node.name, err)
		return
	}
	operator.count("newest read")
	operator.cluster.record(checker.Event{At: now(), EventKind: checker.NewestRead, Node: node.public, StartedAt: began, Revision: revision, Digest: digest(got)})
}

// repeat sends an acknowledged operation once more after a pause. A missing or inconclusive response is allowed and
// is not recorded.
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
