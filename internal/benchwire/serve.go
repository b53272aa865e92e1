// Package benchwire translates the simulator's frames into calls of decision module instances, and their
// decisions back into frames.
package benchwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"magpieglade/decide"
)

var le = binary.LittleEndian

// results, statuses, roles and scopes map the wire's codes to the module's values.
var (
	results = map[byte]decide.Result{
		0: decide.Committed, 13: decide.Failed, 8: decide.AtCapacity, 4: decide.TimedOut, 14: decide.Unreachable,
		10: decide.Broken, 1: decide.Cancelled, 9: decide.NotSent, 5: decide.NotEligible,
	}
	statuses = map[byte]decide.Status{0: decide.Removed, 1: decide.Ready, 2: decide.Draining}
	roles    = [4]decide.Role{1: decide.RolePrimary, 2: decide.RoleReplica}
	scopes   = map[byte]decide.Scope{0: decide.Delta, 1: decide.FullList, 2: decide.CachedList}
)

// frame reads consecutive fields. A read past the end marks it malformed permanently.
type frame struct {
	rest      []byte
	malformed bool
}

func (f *frame) take(n int) []byte {
	if f.malformed || n < 0 || n > len(f.rest) {
		f.malformed = true
		return make([]byte, min(max(n, 0), 32))
	}
	b := f.rest[:n]
	f.rest = f.rest[n:]
	return b
}

func (f *frame) u8() byte             { return f.take(1)[0] }
func (f *frame) u16() uint16          { return le.Uint16(f.take(2)) }
func (f *frame) u32() uint32          { return le.Uint32(f.take(4)) }
func (f *frame) u64() uint64          { return le.Uint64(f.take(8)) }
func (f *frame) f32() float32         { return math.Float32frombits(f.u32()) }
func (f *frame) f64() float64         { return math.Float64frombits(f.u64()) }
func (f *frame) millis() decide.Nanos { return decide.Millis(f.f64()) }
func (f *frame) server() (s decide.Server) {
	copy(s[:], f.take(6))
	return s
}

// report reads the values of a load report. They are rounded to 24 bits: taking the next lower value errs
// towards an older, stricter position. The value 1 is exact, as it stands for yes.
func (f *frame) report() []float64 {
	report := make([]float64, 0, 4)
	for n := f.u8(); n > 0 && !f.malformed; n-- {
		x := f.f32()
		if x != 1 {
			x = math.Nextafter32(x, 0)
		}
		report = append(report, float64(x))
	}
	return report
}

// host holds the instances of one process and the numbered member lists. Instances share nothing else.
type host struct {
	instances map[uint32]*decide.Gateway
	serverIDs map[uint32]serverIDs // by instance
	pages     map[uint32][]byte
	active    []uint32 // instances with an event in this batch, in the order of their first event
	out       []byte
	records   uint32
}

// Serve answers batches read from in until it ends.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	h := &host{instances: map[uint32]*decide.Gateway{}, serverIDs: map[uint32]serverIDs{}, pages: map[uint32][]byte{}}
	var body bytes.Buffer
	for {
		var head [8]byte
		if _, err := io.ReadFull(r, head[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame header: %w", err)
		}
		n := int64(le.Uint32(head[4:]))
		body.Reset()
		if _, err := io.CopyN(&body, r, n); err != nil {
			return fmt.Errorf("frame of %d bytes ends after %d", n, body.Len())
		}
		h.out, h.records, h.active = append(h.out[:0], make([]byte, 8)...), 0, h.active[:0]
		if err := h.processBatch(le.Uint32(head[:]), &frame{rest: body.Bytes()}); err != nil {
			return err
		}
		le.PutUint32(h.out, h.records)
		le.PutUint32(h.out[4:], uint32(len(h.out)-8))
		if _, err := w.Write(h.out); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// processBatch applies the events of a frame, then writes the decisions of every instance that the frame names.
func (h *host) processBatch(records uint32, f *frame) error {
	now := f.millis()
	var instance uint32
	var g *decide.Gateway
	seen := map[uint32]bool{}
	for i := uint32(0); i < records; i++ {
		code := f.u8()
		if f.malformed {
			return fmt.Errorf("batch: %d records announced, %d found", records, i)
		}
		if g == nil && (code >= 16 && code <= 19 || code >= 21 && code <= 24 || code == 27) {
			return fmt.Errorf("record %d: event %d for instance %d, which is not open", i, code, instance)
		}
		var err error
		switch code {
		case 25: // FOR
			instance = f.u32()
			g = h.instances[instance]
			if !seen[instance] {
				seen[instance] = true
				h.active = append(h.active, instance)
			}
			if g != nil {
				g.BeginRound(now)
			}
		case 26: // OPEN_INSTANCE
			seed := f.u64()
			text := f.take(int(f.u32()))
			if f.malformed {
				break
			}
			if !seen[instance] {
				return fmt.Errorf("record %d: OPEN_INSTANCE without FOR", i)
			}
			if g, err = decide.New(seed, text); err == nil {
				h.instances[instance], h.serverIDs[instance] = g, serverIDs{}
				g.BeginRound(now)
			}
		case 18: // KILLED
			delete(h.instances, instance)
			delete(h.serverIDs, instance)
			g = nil
		case 20: // PAGE
			id, n := f.u32(), int(f.u32())
			if n > len(f.rest)/28 {
				f.malformed = true
			}
			h.pages[id] = bytes.Clone(f.take(n * 28))
		case 21: // ANNOUNCE
			err = h.applyList(instance, f.u8(), f.u32(), f.u32())
		case 24: // KNOCK
			id, class, owner, key := f.u64(), f.u8(), f.u32(), f.u64()
			budget, estimatedWork, group, age, options := f.millis(), f.millis(), f.f32(), f.f32(), f.u8()
			if !f.malformed {
				// The age is rounded: the next lower value errs towards a younger, stricter token.
				writeAge := decide.Millis(float64(math.Nextafter32(age, 0)))
				if age > 0 && writeAge <= 0 {
					writeAge = 1
				}
				if options&1 == 0 {
					estimatedWork = 0
				}
				err = g.AddTxn(id, int(class), int(owner), key, budget, estimatedWork, int(group), writeAge)
			}
		case 23: // RESPONSE
			id, attempt, server, verdict := f.u64(), f.u16(), f.server(), f.u8()
			elapsed, roleAndPosition, final, report := f.millis(), f.u32(), f.u8(), f.report()
			result, ok := results[verdict]
			if !f.malformed && !ok {
				return fmt.Errorf("record %d: RESPONSE has the unknown verdict %d", i, verdict)
			}
			if !f.malformed {
				position := decide.Nanos(roleAndPosition>>2) * decide.Millisecond
				g.SubmissionEnded(id, int(attempt), server, result, elapsed, roles[roleAndPosition&3], position, final != 0, report)
			}
		case 16: // DUE
			f.u64()
		case 17: // STATUS_BACK
			elapsed, server, verdict, report := f.millis(), f.server(), f.u8(), f.report()
			result, ok := results[verdict]
			if !f.malformed && !ok {
				return fmt.Errorf("record %d: STATUS_BACK has the unknown verdict %d", i, verdict)
			}
			if !f.malformed {
				g.ProbeEnded(server, result, elapsed, report)
			}
		case 27: // FLOWING
			f.u64()
			f.u16()
			f.server()
			f.f64()
		case 19: // WITHDRAWN
			if id := f.u64(); !f.malformed {
				g.ClientGone(id)
			}
		case 22: // MEMO
			f.u16()
			if text := f.take(int(f.u16())); !f.malformed {
				h.serverIDs[instance].decode(text, now, g.ReceiveUpdate)
			}
		default:
			return fmt.Errorf("record %d has the unknown code %d", i, code)
		}
		if err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if f.malformed {
			return fmt.Errorf("record %d (code %d) is cut short", i, code)
		}
	}
	if len(f.rest) > 0 {
		return fmt.Errorf("batch: %d bytes after the last of %d records", len(f.rest), records)
	}
	for _, id := range h.active {
		if g := h.instances[id]; g != nil {
			h.writeDecisions(id, g)
		}
	}
	return nil
}

// applyList passes a member list update, or the failure of one, to an instance.
func (h *host) applyList(instance uint32, scope byte, version, page uint32) error {
	g := h.instances[instance]
	if scope == 3 {
		g.MemberListFailed()
		return nil
	}
	listScope, ok := scopes[scope]
	if !ok {
		return fmt.Errorf("ANNOUNCE has the unknown scope %d", scope)
	}
	entries, ok := h.pages[page]
	if !ok {
		return errors.New("ANNOUNCE names a PAGE that was never sent")
	}
	for f := (&frame{rest: entries}); len(f.rest) > 0; {
		started, group, primary, code := f.millis(), f.u16(), f.f32(), f.u8()
		zone, share, server := f.u16(), f.f32(), f.server()
		status, ok := statuses[code]
		if !ok {
			return fmt.Errorf("PAGE entry has the unknown status %d", code)
		}
		h.serverIDs[instance].add(server)
		g.UpdateMember(server, int(group), primary == 1, status, int(zone), float64(share), int(f.u8()), started)
	}
	g.EndMemberList(listScope)
	return nil
}

// writeDecisions writes an instance's decisions until none is left.
func (h *host) writeDecisions(id uint32, g *decide.Gateway) {
	h.startRecord(92)
	h.out = le.AppendUint32(h.out, id)
	for {
		d, ok := g.Next()
		if !ok {
			return
		}
		switch d.Kind {
		case decide.Submit:
			h.writeTxn(80, d.Txn)
			h.writeMillis(d.Expiry)
			h.out = append(h.out, d.Server[:]...)
		case decide.Reject:
			h.writeTxn(81, d.Txn)
			h.writeMillis(d.Delay)
		case decide.RollBack:
			h.writeTxn(82, d.Txn)
		case decide.Cancel:
			h.writeTxn(83, d.Txn)
			h.out = le.AppendUint16(h.out, d.Attempt)
		case decide.Wake:
			h.startRecord(84)
			h.writeMillis(d.Delay)
			h.out = le.AppendUint64(h.out, 0)
		case decide.Probe:
			h.startRecord(85)
			h.out = append(h.out, d.Server[:]...)
		case decide.CloseIdle:
			h.startRecord(86)
			h.out = append(h.out, d.Server[:]...)
		case decide.Log:
			text := d.Text[:min(len(d.Text), math.MaxUint16)]
			h.startRecord(88)
			h.out = append(le.AppendUint16(h.out, uint16(len(text))), text...)
		case decide.SendUpdates:
			h.writeUpdates(d.Updates)
		case decide.SubscribeList:
			h.startRecord(90)
			h.out = append(h.out, 1)
		case decide.FetchList:
			h.startRecord(91)
		}
	}
}

// startRecord writes a record's code and counts the record.
func (h *host) startRecord(code byte) {
	h.out = append(h.out, code)
	h.records++
}

func (h *host) writeTxn(code byte, id uint64) {
	h.startRecord(code)
	h.out = le.AppendUint64(h.out, id)
}

func (h *host) writeMillis(t decide.Nanos) {
	h.out = le.AppendUint64(h.out, math.Float64bits(float64(t)/1e6))
}
