package gateway

import (
	"magpieglade/internal/slots"
	"magpieglade/pacing"
)

// mayProcess reports whether another query of a client may be processed now. If not, the client pauses and is read again
// after that.
func (cs *clients) mayProcess(ref slots.Ref, c *client) bool {
	if c.stage == stagePaused {
		return false
	}
	cs.pacer.BeginTurn(cs.g.turn)
	if cs.pacer.MayProcessQuery(&c.pace) {
		return true
	}
	cs.pause(ref, c, pacing.Queries)
	return false
}

// mayAnswerControl reports whether more control messages of a client may be answered in this turn. If not, the client is read
// again after a pause.
func (cs *clients) mayAnswerControl(ref slots.Ref, c *client) bool {
	cs.pacer.BeginTurn(cs.g.turn)
	if cs.pacer.MayAnswerControl(&c.pace) {
		return true
	}
	cs.pause(ref, c, pacing.ControlMessages)
	return false
}

// pause has a client wait for the others.
func (cs *clients) pause(ref slots.Ref, c *client, reason pacing.Reason) {
	cs.g.outcomes.clientPauses[reason]++
	cs.enterStage(ref, c, stagePaused)
}

// resume has a client that paused read again.
func (cs *clients) resume(ref slots.Ref, c *client) {
	cs.endStage(c)
	cs.g.inputs = append(cs.g.inputs, input{kind: inReadable, ref: ref})
}
