package agreement

import (
	"encoding/json"
	"errors"
	"slices"
)

// askAgain is after how long a wish of which nothing was heard is told again. Ours: some ways there and back.
const proposalRetryInterval = 250e6

// mostAsks is how many wishes a gateway has under way.
const maxPendingProposals = 8

// mostComing is how many wishes wait for their texts; others come again.
const maxAwaitingText = 16

// ask is a wish of this gateway.
type pendingProposal struct {
	no      uint64
	data    []byte
	text    []byte
	retryAt int64
	until   int64
	why     string // it is put off
}

// carried is a wish on its way to the leader.
type proposeMessage struct {
	Record proposalRecord `json:"proposal"`
}

// result is what became of one.
type result struct {
	Origin  ID      `json:"origin"`
	No      uint64  `json:"no"`
	Outcome Outcome `json:"outcome"`
}

// Ask has the fleet agree on something. Its outcome is an Answer decision with the number that it gives, within patience
// at the latest: then it is not known whether it is agreed on, and what is asked for again is another wish. text is that
// of the wish's version.
func (a *Agreement) Propose(w Proposal, text []byte, patience int64) (no uint64, err error) {
	if len(a.pending) >= maxPendingProposals {
		return 0, errors.New("too much is asked for at a time")
	}
	if w.Version != nil {
		if len(text) == 0 || len(text) > MaxTextSize {
			return 0, errors.New("a text has from 1 to 262144 bytes")
		}
		v := *w.Version
		v.Digest, v.Size, v.Proposer = DigestOf(text), len(text), a.config.Self
		w.Version = &v
	}
	a.lastProposalNo++
	data, err := json.Marshal(proposeMessage{proposalRecord{a.config.Self, a.lastProposalNo, w}})
	if err != nil {
		return 0, err
	}
	a.pending = append(a.pending, &pendingProposal{no: a.lastProposalNo, data: data, text: text, retryAt: a.now, until: a.now + patience})
	return a.lastProposalNo, nil
}

// repeatAsks tells the first wish again until its outcome is known: the others wait, so that they come in order.
func (a *Agreement) retryPending() {
	for len(a.pending) > 0 && a.now >= a.pending[0].until {
		why := "no voter answered for it in time, it may be agreed on or not"
		if a.pending[0].why != "" {
			why = a.pending[0].why
		}
		a.completeProposal(a.pending[0].no, Outcome{Why: why, Wait: true})
	}
	if len(a.pending) == 0 || a.now < a.pending[0].retryAt {
		return
	}
	k := a.pending[0]
	k.retryAt = a.now + proposalRetryInterval
	m := Message{Kind: Propose, Data: k.data}
	if k.text != nil {
		m.Digest, m.Size = a.texts.offer(k.text), len(k.text)
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
	if o.Wait && a.now < a.pending[i].until { // it is told again
		a.pending[i].why = o.Why
		return
	}
	a.pending = slices.Delete(a.pending, i, i+1)
	a.decisions = append(a.decisions, Decision{Kind: Answer, ProposalNo: no, Result: o})
}

// proposed takes a wish: the leader brings it into the log, others tell the leader.
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
		if w := p.Proposal.Version; w != nil && (text == nil || DigestOf(text) != w.Digest) {
			return
		}
		for _, j := range v.jobs {
			if j.origin == p.Origin && j.no == p.No {
				j.until = a.now + 4*proposalRetryInterval
				return
			}
		}
		v.jobs = append(v.jobs, &job{origin: p.Origin, no: p.No, wish: p.Proposal, text: text, until: a.now + 4*proposalRetryInterval})
	case leader != 0 && leader != a.config.Self && m.From == p.Origin: // one hop: two voters that each take the other for the leader do not pass it on for ever
		out := Message{Kind: Propose, To: leader, Data: m.Data}
		if text != nil {
			out.Digest, out.Size = a.texts.offer(text), len(text)
		}
		a.send(out)
	}
}

// texted takes wishes whose text has come; one whose text does not come is told again by its gateway.
func (a *Agreement) resumeProposals() {
	for i := 0; i < len(a.awaitingText); i++ {
		m := a.awaitingText[i]
		here := a.texts.get(m.Digest) != nil
		if here || a.texts.takeFailed(m.Digest) {
			a.awaitingText = slices.Delete(a.awaitingText, i, i+1)
			i--
		}
		if here {
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

// resulted takes what became of a wish.
func (a *Agreement) handleResult(data []byte) {
	var r result
	if json.Unmarshal(data, &r) == nil && r.Origin == a.config.Self {
		a.completeProposal(r.No, r.Outcome)
	}
}
