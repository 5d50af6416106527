package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/fault"
	"chervilpath/core/member"
	"chervilpath/core/once"
	"chervilpath/core/pipeline"
	"chervilpath/io/caller"
	"chervilpath/io/peer/peerpb"
)

const (
	// Outcomes are stored once in outcomeFlush, or in outcomeFlushEach for each
	// serving instance, so that the writes of all do not grow with the fleet.
	minOutcomeFlushInterval = time.Second
	outcomeFlushPerInstance = 50 * time.Millisecond

	maxHandOverAttempts = 3
	handOverTimeout     = 2 * time.Second
	runningPollInterval = 50 * time.Millisecond
)

// runOnce takes a request that runs at most once through its pipeline.
func (n *Instance) runOnce(ctx context.Context, a once.Attempt) once.Outcome {
	req, reqErr := n.pipelineRequest(a)
	if reqErr != nil {
		return outcomeOf(reqErr)
	}
	answer, err := n.runner.Run(ctx, req)
	if err != nil {
		return outcomeOf(fault.From(err))
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return outcomeOf(fault.Errorf(fault.Internal, "encoding an answer: %w", err).WithRan(fault.RanYes))
	}
	return once.Outcome{State: once.Done, Answer: data, Ran: fault.RanYes.String()}
}

func (n *Instance) pipelineRequest(a once.Attempt) (pipeline.Request, *fault.Error) {
	set := n.declarations()
	if set == nil {
		return pipeline.Request{}, fault.Errorf(fault.Draining, "the instance has no declarations yet")
	}
	org, ok := set.Organisation(a.Organisation)
	if !ok {
		return pipeline.Request{}, fault.Errorf(fault.Unauthenticated, "the organisation is no longer declared")
	}
	kind, ok := set.Kind(a.Kind)
	if !ok {
		return pipeline.Request{}, fault.Errorf(fault.NotFound, "the kind %q is no longer declared", a.Kind)
	}
	body, err := caller.Decode(a.Body)
	if err != nil {
		return pipeline.Request{}, fault.From(err)
	}
	return pipeline.Request{ID: once.RequestID(a.Organisation, a.Key), Organisation: org, Kind: kind, Deadline: a.Deadline, Input: body.Payload()}, nil
}

// outcomeOf stores an error as it was answered. Work that ran and then failed
// is done, so that it never runs again.
func outcomeOf(err *fault.Error) once.Outcome {
	state := once.Unknown
	switch err.Ran() {
	case fault.RanNo:
		state = once.NotRun
	case fault.RanYes:
		state = once.Done
	}
	return once.Outcome{State: state, Error: err.Kind().String(), Stage: err.Stage(), Message: err.Error(), Ran: err.Ran().String()}
}

// flushOutcomes stores outcomes in groups.
func (n *Instance) flushOutcomes(ctx context.Context) {
	for n.sleepJittered(ctx, max(minOutcomeFlushInterval, time.Duration(n.members.NumServing())*outcomeFlushPerInstance)) {
		n.flushAllOutcomes(ctx)
	}
}

func (n *Instance) flushAllOutcomes(ctx context.Context) {
	for {
		written, err := n.coordinator.Flush(ctx)
		if err != nil {
			n.log.Warn("outcomes not stored", zap.Error(err))
			return
		}
		if written == 0 {
			return
		}
	}
}

// handOver gives this instance's keys to another one, so that tickets that it
// issued can still be used and outcomes asked for.
func (n *Instance) handOver(ctx context.Context) error {
	records, err := n.closeTable(ctx)
	if err != nil {
		return err
	}
	data, err := json.Marshal(records)
	if err != nil {
		return fault.Errorf(fault.Internal, "encoding records: %w", err)
	}
	for _, m := range n.members.SampleLive(maxHandOverAttempts) {
		err := n.handOverTo(ctx, m, data)
		if isDialError(err) {
			continue
		}
		if err != nil {
			// It may have taken over. No other instance is asked, since two
			// that hold the same keys could run a request twice.
			n.log.Warn("keys may not have been taken over", zap.String("by", m.Name), zap.Error(err))
			return nil
		}
		n.log.Info("keys handed over", zap.String("to", m.Name), zap.Int("records", len(records)))
		return nil
	}
	n.log.Warn("keys not handed over: no other instance is live")
	return nil
}

func (n *Instance) handOverTo(ctx context.Context, m member.Member, records []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_, err := n.peerClients.For(m.Address).HandOver(callCtx, &peerpb.HandOverRequest{
		Incarnations: n.coordinator.OwnedIncarnations(), Records: records,
	})
	if err != nil {
		return fmt.Errorf("handing keys over to %s: %w", m.Address, err)
	}
	successor := once.Owner{Incarnation: m.ID, Address: m.Address}
	n.coordinator.MarkHandedOver(successor)
	if err := n.coordinator.StoreHandover(ctx, successor); err != nil {
		n.log.Warn("hand-over not stored; members tell it", zap.Error(err))
	}
	n.members.Leave(ctx, m.Address)
	return nil
}

// isDialError reports whether a call provably did not reach its peer.
func isDialError(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// closeTable waits until no request runs and then closes the table.
func (n *Instance) closeTable(ctx context.Context) ([]once.Record, error) {
	for {
		if records, ok := n.coordinator.Table().Close(); ok {
			return records, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.New("requests that run at most once still run; their outcome will be unknown")
		case <-time.After(runningPollInterval):
		}
	}
}
