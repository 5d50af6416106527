package main

import (
	"slices"

	"chervilpath/platform/stand"
)

// checkPieces checks that servers computed only pieces that a caller's request has, and
// that each was given the key of its request, or exactly one result of each piece of the
// preceding stage of the same request.
func (c *checker) checkPieces(report func(string, ...any)) {
	madeBy := make(map[string]stand.PieceRun, len(c.pieceRuns))
	for _, p := range c.pieceRuns {
		madeBy[p.Handle] = p
	}
	for _, p := range c.pieceRuns {
		r := c.requests[p.RequestID]
		switch {
		case r == nil:
			report("%s: a piece was computed, but no caller sent this request", p.RequestID)
		case r.route != routeDraft || p.Stage < 0 || p.Stage >= len(draftPieces) || p.Piece < 0 || p.Piece >= draftPieces[p.Stage]:
			report("%s: piece %d of stage %d was computed, which the request does not have", p.RequestID, p.Piece, p.Stage)
		case p.Stage == 0 && (p.PieceKey != stand.PieceKey(p.RequestID) || len(p.Inputs) > 0):
			report("%s: piece %d was computed with key %q and %d inputs", p.RequestID, p.Piece, p.PieceKey, len(p.Inputs))
		case p.Stage > 0 && !hasAllInputs(p, madeBy):
			report("%s: piece %d of stage %d was given other inputs than those of its request: %q", p.RequestID, p.Piece, p.Stage, p.Inputs)
		}
	}
}

// hasAllInputs reports whether the inputs of a piece are one result of each piece of the
// preceding stage of its request.
func hasAllInputs(p stand.PieceRun, madeBy map[string]stand.PieceRun) bool {
	var pieces []int
	for _, handle := range p.Inputs {
		input, ok := madeBy[handle]
		if !ok || input.RequestID != p.RequestID || input.Stage != p.Stage-1 {
			return false
		}
		pieces = append(pieces, input.Piece)
	}
	slices.Sort(pieces)
	return len(pieces) == draftPieces[p.Stage-1] && len(slices.Compact(pieces)) == len(p.Inputs)
}
