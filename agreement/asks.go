package agreement

import (
	"encoding/json"
	"errors"
	"slices"
)

// proposalRetryInterval is after how long an unanswered proposal is sent again: a few round trips.
const proposalRetryInterval = 250e6

// maxPendingProposals limits the proposals of a gateway that are under way.
const maxPendingProposals = 8

// maxAwaitingText limits the proposals that wait for their texts; others are dropped and sent again by their
// gateways.
const maxAwaitingText = 16

// pendingProposal is a proposal of this gateway without an outcome yet.
type pendingProposal struct {
	no         uint64
	data       []byte
	text       []byte
	retryAt    int64
	until      int64
	waitReason string // why it has to wait
}

// proposeMessage is the payload of a Propose message.
type proposeMessage struct {
	Record proposalRecord `json:"proposal"`
}

// result is the payload of a Result message.
type result struct {
	Origin  ID      `json:"origin"`
	No      uint64  `json:"no"`
	Outcome Outcome `json:"outcome"`
}

// Propose proposes a change to the fleet. Its outcome is an Answer decision with the returned number, after timeout
// at the latest: then it is unknown whether the change was made, and proposing it again is a new proposal. text is
// the text of the proposal's version.
func (a *Agreement) Propose(p Proposal, text []byte, timeout int64) (no uint64, err error) {
	if len(a.pending) >= maxPendingProposals {
		return 0, errors.New("too many proposals are under way")
	}
	if p.Version != nil {
		if len(text) == 0 || len(text) > MaxTextSize {
			return 0, errors.New("a text has from 1 to 262144 bytes")
		}
		v := *p.Version
		v.Digest, v.Size, v.Proposer = DigestOf(text), len(text), a.config.Self
		p.Version = &v
	}
	a.lastProposalNo++
	data, err := json.Marshal(proposeMessage{proposalRecord{a.config.Self, a.lastProposalNo, p}})
	if err != nil {
		return 0, err
	}
	a.pending = append(a.pending, &pendingProposal{no: a.lastProposalNo, data: data, text: text, retryAt: a.now, until: a.now + timeout})
	return a.lastProposalNo, nil
}

// retryPending sends the first proposal again until its outcome is known. The others wait, which keeps them in
// order.
func (a *Agreement) retryPending() {
	for len(a.pending) > 0 && a.now >= a.pending[0].until {
		reason := "no voter answered for it in time, it may be agreed on or not"
		if a.pending[0].waitReason != "" {
			reason = a.pending[0].waitReason
		}
		a.completeProposal(a.pending[0].no, Outcome{Reason: reason, Retry: true})
	}
	if len(a.pending) == 0 || a.now < a.pending[0].retryAt {
		return
	}
	p := a.pending[0]
	p.retryAt = a.now + proposalRetryInterval
	m := Message{Kind: Propose, Data: p.data}
	if p.text != nil {
		m.Digest, m.Size = a.texts.offer(p.text), len(p.text)
	}
	switch {
	case a.voter != nil:
		m.To = a.config.Self
	case len(a.holder.voters) > 0:
		m.To = a.holder.voters[0]
	default:
		return
	}
	a.send(m)
}

func (a *Agreement) completeProposal(no uint64, o Outcome) {
	i := slices.IndexFunc(a.pending, func(k *pendingProposal) bool { return k.no == no })
	if i < 0 {
		return
	}
	if o.Retry && a.now < a.pending[i].until { // retryPending sends it again
		a.pending[i].waitReason = o.Reason
		return
	}
	a.pending = slices.Delete(a.pending, i, i+1)
	a.decisions = append(a.decisions, Decision{Kind: Answer, ProposalNo: no, Result: o})
}

// handlePropose handles a proposal: the leader appends it to the log, other voters forward it to the leader.
func (a *Agreement) handlePropose(m *Message) {
	var c proposeMessage
	v := a.voter
	if v == nil || json.Unmarshal(m.Data, &c) != nil || c.Record.Origin == 0 {
		return
	}
	p := c.Record
	if o, done := v.state.outcome(p.Origin, p.No); done {
		a.sendResult(p.Origin, result{p.Origin, p.No, o})
		return
	}
	var text []byte
	if m.Size > 0 {
		if text = a.texts.getOrFetch(m.From, m.Digest, m.Size); text == nil {
			if len(a.awaitingText) < maxAwaitingText && !slices.ContainsFunc(a.awaitingText, func(x Message) bool { return string(x.Data) == string(m.Data) }) {
				a.awaitingText = append(a.awaitingText, *m)
			}
			return
		}
	}
	switch _, leader, _, _ := a.Role(); {
	case v.isLeading():
		if version := p.Proposal.Version; version != nil && (text == nil || DigestOf(text) != version.Digest) {
			return
		}
		for _, j := range v.jobs {
			if j.origin == p.Origin && j.no == p.No {
				j.until = a.now + 4*proposalRetryInterval
				return
			}
		}
		v.jobs = append(v.jobs, &job{origin: p.Origin, no: p.No, proposal: p.Proposal, text: text, until: a.now + 4*proposalRetryInterval})
	case leader != 0 && leader != a.config.Self && m.From == p.Origin: // one hop only: two voters that each take the other for the leader must not forward it forever
		forwarded := Message{Kind: Propose, To: leader, Data: m.Data}
		if text != nil {
			forwarded.Digest, forwarded.Size = a.texts.offer(text), len(text)
		}
		a.send(forwarded)
	}
}

// resumeProposals handles proposals whose text has arrived. If the text can't be fetched the proposal is dropped;
// its gateway sends it again.
func (a *Agreement) resumeProposals() {
	for i := 0; i < len(a.awaitingText); i++ {
		m := a.awaitingText[i]
		available := a.texts.get(m.Digest) != nil
		if available || a.texts.takeFailed(m.Digest) {
			a.awaitingText = slices.Delete(a.awaitingText, i, i+1)
			i--
		}
		if available {
			a.handlePropose(&m)
		}
	}
}

func (a *Agreement) sendResult(to ID, r result) {
	data, err := json.Marshal(r)
	if err == nil {
		a.send(Message{Kind: Result, To: to, Data: data})
	}
}

// handleResult handles the outcome of a proposal.
func (a *Agreement) handleResult(data []byte) {
	var r result
	if json.Unmarshal(data, &r) == nil && r.Origin == a.config.Self {
		a.completeProposal(r.No, r.Outcome)
	}
}
