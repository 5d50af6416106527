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
	// Outcomes are stored every minOutcomeFlushInterval, or less often with many
	// instances: every outcomeFlushPerInstance times their number. This bounds
	// the rate of writes by all instances together.
	minOutcomeFlushInterval = time.Second
	outcomeFlushPerInstance = 50 * time.Millisecond

	// maxHandOverAttempts is how many members are tried as the successor.
	maxHandOverAttempts = 3
	handOverTimeout     = 2 * time.Second

	// runningPollInterval is the interval at which closeTable checks whether
	// requests are still running.
	runningPollInterval = 50 * time.Millisecond
)

// runOnce runs a non-idempotent request through its pipeline. The coordinator
// calls it at most once for each key.
func (in *Instance) runOnce(ctx context.Context, a once.Attempt) once.Outcome {
	req, reqErr := in.pipelineRequest(a)
	if reqErr != nil {
		return outcomeOf(reqErr)
	}
	answer, err := in.runner.Run(ctx, req)
	if err != nil {
		return outcomeOf(fault.From(err))
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return outcomeOf(fault.Errorf(fault.Internal, "encoding an answer: %w", err).WithRan(fault.RanYes))
	}
	return once.Outcome{State: once.Done, Answer: data, Ran: fault.RanYes.String()}
}

// pipelineRequest returns the pipeline's request for an attempt, by the
// declarations now in force.
func (in *Instance) pipelineRequest(a once.Attempt) (pipeline.Request, *fault.Error) {
	set := in.declarations()
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

// outcomeOf returns the outcome that records an error as it was returned to the
// caller. A request that ran and then failed is recorded as done, so that it
// never runs again.
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

// flushOutcomes stores the outcomes periodically, many in one write.
func (in *Instance) flushOutcomes(ctx context.Context) {
	for in.sleepJittered(ctx, max(minOutcomeFlushInterval, time.Duration(in.members.NumServing())*outcomeFlushPerInstance)) {
		in.flushAllOutcomes(ctx)
	}
}

// flushAllOutcomes stores outcomes until none is left or a write fails.
func (in *Instance) flushAllOutcomes(ctx context.Context) {
	for {
		written, err := in.coordinator.Flush(ctx)
		if err != nil {
			in.log.Warn("outcomes not stored", zap.Error(err))
			return
		}
		if written == 0 {
			return
		}
	}
}

// handOver hands this instance's keys over to another instance, so that tickets
// it issued remain usable and outcomes can still be queried.
func (in *Instance) handOver(ctx context.Context) error {
	records, err := in.closeTable(ctx)
	if err != nil {
		return err
	}
	data, err := json.Marshal(records)
	if err != nil {
		return fault.Errorf(fault.Internal, "encoding the records of keys: %w", err)
	}
	for _, m := range in.members.SampleLive(maxHandOverAttempts) {
		err := in.handOverTo(ctx, m, data)
		if isDialError(err) {
			continue
		}
		if err != nil {
			// The member may have taken the keys over. No other instance is tried,
			// because two owners of the same keys could run a request twice.
			in.log.Warn("unknown whether the keys were taken over", zap.String("by", m.Name), zap.Error(err))
			return nil
		}
		in.log.Info("keys handed over", zap.String("to", m.Name), zap.Int("records", len(records)))
		return nil
	}
	in.log.Warn("keys not handed over: no other instance is live")
	return nil
}

// handOverTo hands the keys over to one member. If it returns an error, the member
// may still have taken them over, unless isDialError reports that the call was not
// sent.
func (in *Instance) handOverTo(ctx context.Context, m member.Member, records []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_, err := in.peerClients.For(m.Address).HandOver(callCtx, &peerpb.HandOverRequest{
		Incarnations: in.coordinator.OwnedIncarnations(), Records: records,
	})
	if err != nil {
		return fmt.Errorf("handing keys over to %s: %w", m.Address, err)
	}
	successor := once.Owner{Incarnation: m.ID, Address: m.Address}
	in.coordinator.MarkHandedOver(successor)
	if err := in.coordinator.StoreHandover(ctx, successor); err != nil {
		in.log.Warn("handover not stored; the membership still announces it", zap.Error(err))
	}
	in.members.Leave(ctx, m.Address)
	return nil
}

// isDialError reports whether a call failed before it was sent, because no
// connection to the peer could be opened.
func isDialError(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// closeTable waits until no request is running, closes the table to new attempts
// and returns its records.
func (in *Instance) closeTable(ctx context.Context) ([]once.Record, error) {
	for {
		if records, ok := in.coordinator.Table().Close(); ok {
			return records, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.New("non-idempotent requests are still running; their outcomes will be unknown")
		case <-time.After(runningPollInterval):
		}
	}
}
