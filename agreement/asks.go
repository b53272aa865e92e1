package agreement

import (
	"encoding/json"
	"errors"
	"slices"
)

// askAgain is after how long a wish of which nothing was heard is told again. Ours: some ways there and back.
const askAgain = 250e6

// mostAsks is how many wishes a gateway has under way.
const mostAsks = 8

// mostComing is how many wishes wait for their texts; others come again.
const mostComing = 16

// ask is a wish of this gateway.
type ask struct {
	no      uint64
	data    []byte
	text    []byte
	againAt int64
	until   int64
	why     string // it is put off
}

// carried is a wish on its way to the leader.
type carried struct {
	Proposal proposal `json:"proposal"`
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
func (a *Agreement) Ask(w Wish, text []byte, patience int64) (no uint64, err error) {
	if len(a.asks) >= mostAsks {
		return 0, errors.New("too much is asked for at a time")
	}
	if w.Version != nil {
		if len(text) == 0 || len(text) > MostText {
			return 0, errors.New("a text has from 1 to 262144 bytes")
		}
		v := *w.Version
		v.Digest, v.Size, v.Asker = DigestOf(text), len(text), a.terms.Self
		w.Version = &v
	}
	a.asked++
	data, err := json.Marshal(carried{proposal{a.terms.Self, a.asked, w}})
	if err != nil {
		return 0, err
	}
	a.asks = append(a.asks, &ask{no: a.asked, data: data, text: text, againAt: a.now, until: a.now + patience})
	return a.asked, nil
}

// repeatAsks tells the first wish again until its outcome is known: the others wait, so that they come in order.
func (a *Agreement) repeatAsks() {
	for len(a.asks) > 0 && a.now >= a.asks[0].until {
		why := "no voter answered for it in time, it may be agreed on or not"
		if a.asks[0].why != "" {
			why = a.asks[0].why
		}
		a.answer(a.asks[0].no, Outcome{Why: why, Wait: true})
	}
	if len(a.asks) == 0 || a.now < a.asks[0].againAt {
		return
	}
	k := a.asks[0]
	k.againAt = a.now + askAgain
	m := Message{Kind: Propose, Data: k.data}
	if k.text != nil {
		m.Digest, m.Size = a.texts.offer(k.text), len(k.text)
	}
	switch {
	case a.voter != nil:
		m.To = a.terms.Self
	case len(a.holder.voters) > 0:
		m.To = a.holder.voters[0]
	default:
		return
	}
	a.send(m)
}

func (a *Agreement) answer(no uint64, o Outcome) {
	i := slices.IndexFunc(a.asks, func(k *ask) bool { return k.no == no })
	if i < 0 {
		return
	}
	if o.Wait && a.now < a.asks[i].until { // it is told again
		a.asks[i].why = o.Why
		return
	}
	a.asks = slices.Delete(a.asks, i, i+1)
	a.out = append(a.out, Decision{Kind: Answer, No: no, Result: o})
}

// proposed takes a wish: the leader brings it into the log, others tell the leader.
func (a *Agreement) proposed(m *Message) {
	var c carried
	v := a.voter
	if v == nil || json.Unmarshal(m.Data, &c) != nil || c.Proposal.Origin == 0 {
		return
	}
	p := c.Proposal
	if o, done := v.book.answer(p.Origin, p.No); done {
		a.tell(p.Origin, result{p.Origin, p.No, o})
		return
	}
	var text []byte
	if m.Size > 0 {
		if text = a.texts.want(m.From, m.Digest, m.Size); text == nil {
			if len(a.comes) < mostComing && !slices.ContainsFunc(a.comes, func(x Message) bool { return string(x.Data) == string(m.Data) }) {
				a.comes = append(a.comes, *m)
			}
			return
		}
	}
	switch _, leader, _, _ := a.Role(); {
	case v.leading():
		if w := p.Wish.Version; w != nil && (text == nil || DigestOf(text) != w.Digest) {
			return
		}
		for _, j := range v.jobs {
			if j.origin == p.Origin && j.no == p.No {
				j.until = a.now + 4*askAgain
				return
			}
		}
		v.jobs = append(v.jobs, &job{origin: p.Origin, no: p.No, wish: p.Wish, text: text, until: a.now + 4*askAgain})
	case leader != 0 && leader != a.terms.Self && m.From == p.Origin: // one hop: two voters that each take the other for the leader do not pass it on for ever
		out := Message{Kind: Propose, To: leader, Data: m.Data}
		if text != nil {
			out.Digest, out.Size = a.texts.offer(text), len(text)
		}
		a.send(out)
	}
}

// texted takes wishes whose text has come; one whose text does not come is told again by its gateway.
func (a *Agreement) texted() {
	for i := 0; i < len(a.comes); i++ {
		m := a.comes[i]
		here := a.texts.get(m.Digest) != nil
		if here || a.texts.failed(m.Digest) {
			a.comes = slices.Delete(a.comes, i, i+1)
			i--
		}
		if here {
			a.proposed(&m)
		}
	}
}

func (a *Agreement) tell(to ID, r result) {
	data, err := json.Marshal(r)
	if err == nil {
		a.send(Message{Kind: Result, To: to, Data: data})
	}
}

// resulted takes what became of a wish.
func (a *Agreement) resulted(data []byte) {
	var r result
	if json.Unmarshal(data, &r) == nil && r.Origin == a.terms.Self {
		a.answer(r.No, r.Outcome)
	}
}
