// Package operator reads the operator's own file, in HCL: what the platform's configuration does not know of. Each
// mistake is told with file, line and column.
package operator

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"magpieglade/fleet"
	"magpieglade/gateway"
	"magpieglade/internal/hclfile"
	"magpieglade/ledger"
	"magpieglade/rollout"
	"magpieglade/routes"
	"magpieglade/session"
)

// File is what the operator's file says.
type File struct {
	ClockError    time.Duration
	Sessions      *fleet.SessionConfig // nil where it has no such block
	Document      *routes.Document     // what can be changed while a gateway runs; nil where it says nothing of that
	WatchDuration time.Duration        // for how long a change of that is undone if health worsens
	Digest        uint64               // the same for the same text
	Text          []byte
	Agreement     *fleet.Config             // nil where it has no such block; Name and Build are the program's
	Coordination  *fleet.CoordinationConfig // nil where it has no such block
	ControlSocket string                    // the socket at which the gateway can be talked to; empty is none
	ChangesFolder string                    // the folder in which changes outlive the process; empty is none
}

// Apply puts it into a gateway's configuration.
func (f *File) Apply(c *gateway.Config) {
	c.ClockError = f.ClockError
	c.Sessions = f.Sessions
	if f.Agreement != nil {
		p := *f.Agreement
		p.Name, p.Build, p.FormatVersion = c.Name, Build(), routes.FormatVersion
		c.Agreement, c.Parse = &p, documentParser("version of the fleet")
	}
	c.Coordination = f.Coordination
	if f.Document != nil {
		c.Change = &gateway.Change{Document: f.Document, Digest: f.Digest, Text: f.Text, WatchDuration: int64(f.WatchDuration)}
	}
	if f.ChangesFolder != "" {
		c.Changes = &gateway.ChangeStore{Path: f.ChangesFolder, Parse: documentParser("kept change")}
	}
}

func documentParser(name string) func([]byte) (*routes.Document, error) {
	return func(text []byte) (*routes.Document, error) { return Document(text, name) }
}

// Read reads a file.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(text, path)
}

// Parse reads the text of a file; paths in it count from the file's folder.
func Parse(text []byte, path string) (*File, error) {
	body, err := hclfile.Parse(text, path)
	if err != nil {
		return nil, err
	}
	r := newReader(filepath.Dir(path))
	f := &File{WatchDuration: time.Duration(rollout.DefaultWatch), Digest: digest(text), Text: text}
	top := r.decodeTopLevel(body)
	top.Duration("clock_error", (*int64)(&f.ClockError), 0)
	top.Duration("watch", (*int64)(&f.WatchDuration), 0)
	top.Decode("control", &f.ControlSocket)
	top.Decode("changes", &f.ChangesFolder)
	for _, b := range top.Blocks {
		switch {
		case b.Type == "sessions" && f.Sessions != nil:
			r.AddError(b.DefRange, "a second block of sessions", "There may be one.")
		case b.Type == "sessions":
			f.Sessions = r.decodeSessions(b)
		case b.Type == "agreement" && f.Agreement != nil:
			r.AddError(b.DefRange, "a second block of agreement", "There may be one.")
		case b.Type == "agreement":
			f.Agreement = r.decodeAgreement(b)
		case b.Type == "coordination" && f.Coordination != nil:
			r.AddError(b.DefRange, "a second block of coordination", "There may be one.")
		case b.Type == "coordination":
			f.Coordination = r.decodeCoordination(b)
		case b.Type == "spread":
			r.AddError(b.DefRange, "changes go to all gateways by the agreement", "Take the block spread away and give a block agreement (docs/agreement.md): what is applied at one gateway is agreed on by all.")
		}
	}
	if f.Coordination != nil && f.Agreement == nil {
		r.AddError(r.coordinationRange, "gateways that choose together agree on their list", "Give a block agreement (docs/agreement.md).")
	}
	if f.Agreement != nil {
		r.checkAgreementConflicts(top, f)
	} else if r.positionsRange != (hcl.Range{}) {
		r.AddError(r.positionsRange, "positions need other gateways to be told to", "Name them in gateways.")
	}
	f.Document = r.decodeDocument(top)
	if r.Err() != nil {
		return nil, r.Err()
	}
	return f, nil
}

// top is what the file itself may hold.
func (r *reader) decodeTopLevel(body hcl.Body) *content {
	return &content{r.Content(body, hcl.Range{}, "clock_error control changes watch log in_flight exclude drain", "sessions", "spread", "agreement", "coordination", "tenant", "route")}
}

func (r *reader) decodeSessions(b *hcl.Block) *fleet.SessionConfig {
	p := &fleet.SessionConfig{Session: session.DefaultConfig(), Tokens: fleet.TokensHints}
	t := &p.Session
	in := r.decodeBlock(b, []string{"source", "tokens", "span", "key_span", "most_marks", "fence_wait", "retry_after"}, "peers", "ledger")
	source, tokens := string(t.Source), string(p.Tokens)
	in.OneOf("source", &source, string(session.SourceEntries), string(session.SourcePrimary), string(session.SourceLocal))
	in.OneOf("tokens", &tokens, string(fleet.TokensHints), string(fleet.TokensComplete), string(fleet.TokensSigned))
	t.Source, p.Tokens = session.FloorSource(source), fleet.TokenUse(tokens)
	in.Duration("span", &t.WatermarkExpiry, time.Second)
	in.Duration("key_span", &t.KeyedWriteExpiry, time.Millisecond)
	in.Int("most_marks", &t.MaxWatermarks, 1, 10_000_000)
	in.Duration("fence_wait", &t.FenceTimeout, time.Millisecond)
	in.Duration("retry_after", &t.RetryAfter, 0)
	seen := map[string]bool{}
	for _, b := range in.Blocks {
		if seen[b.Type] {
			r.AddError(b.DefRange, "a second block of "+b.Type, "There may be one.")
			continue
		}
		seen[b.Type] = true
		switch b.Type {
		case "peers":
			r.decodePeers(b, p)
		case "ledger":
			r.decodeLedger(b, p)
		}
	}
	if p.Tokens == fleet.TokensSigned && len(p.Keys) == 0 {
		r.AddError(in.RangeOf("tokens"), "signed tokens need a key", "Give the block peers with a block key.")
	}
	return p
}

func (r *reader) decodePeers(b *hcl.Block, p *fleet.SessionConfig) {
	in := r.decodeBlock(b, []string{"listen", "gateways", "messages_per_txn", "peer_wait", "keepalive", "positions"}, "key")
	in.decodeAddress("listen", &p.Listen)
	var all []string
	if a := in.Attrs["gateways"]; a != nil {
		in.Decode("gateways", &all)
		r.gatewaysRange = a.Range
		for _, text := range all {
			address, err := netip.ParseAddrPort(text)
			switch {
			case err != nil || !address.Addr().Is4() || address.Port() == 0:
				r.AddError(a.Expr.Range(), fmt.Sprintf("%q is no IPv4 address with a port", text), "Write it as 10.0.0.4:7946.")
			case slices.Contains(p.Gateways, address):
				r.AddError(a.Expr.Range(), fmt.Sprintf("%q stands twice", text), "Each gateway stands once, in the same order at all.")
			default:
				p.Gateways = append(p.Gateways, address)
			}
		}
		if p.Listen.IsValid() && len(p.Gateways) == len(all) && !slices.Contains(p.Gateways, p.Listen) {
			r.AddError(a.Expr.Range(), fmt.Sprintf("the list lacks %v, at which this gateway listens", p.Listen), "Name all gateways, this one among them.")
		}
	}
	if len(p.Gateways) > 1 && !p.Listen.IsValid() {
		r.AddError(b.DefRange, "listen is lacking", "Say at which address the others reach this gateway.")
	}
	in.Float("messages_per_txn", &p.Session.MessagesPerTxn, 0, 1000)
	in.Duration("peer_wait", &p.Session.PeerTimeout, time.Millisecond)
	in.Duration("keepalive", &p.Session.KeepaliveInterval, 10*time.Millisecond)
	in.Decode("positions", &p.SharePositions)
	if p.SharePositions && len(p.Gateways) < 2 {
		r.positionsRange = in.RangeOf("positions")
	}
	for _, k := range in.Blocks {
		r.decodeKey(k, &p.Keys)
	}
	if len(p.Gateways) > 1 && len(p.Keys) == 0 {
		r.AddError(b.DefRange, "a key is lacking", "Gateways believe one another by a key that they share: key \"1\" { file = \"...\" }.")
	}
}

// key is a shared secret, of a file in hexadecimal or of the environment.
func (r *reader) decodeKey(b *hcl.Block, keys *[]fleet.PeerKey) {
	in := r.decodeBlock(b, []string{"file", "variable"})
	var id uint8
	if _, err := fmt.Sscanf(b.Labels[0], "%d", &id); err != nil || fmt.Sprint(id) != b.Labels[0] {
		r.AddError(b.LabelRanges[0], "the name of a key is a number from 0 to 255", "As in key \"1\".")
		return
	}
	var file, variable, text string
	in.Decode("file", &file)
	in.Decode("variable", &variable)
	switch {
	case (file == "") == (variable == ""):
		r.AddError(b.DefRange, "a key has either a file or a variable", "Give one of them.")
		return
	case file != "":
		if !filepath.IsAbs(file) {
			file = filepath.Join(r.folder, file)
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			r.AddError(in.RangeOf("file"), "the key can't be read", err.Error())
			return
		}
		text = string(raw)
	default:
		text = os.Getenv(variable)
	}
	where := in.RangeOf("file")
	if variable != "" {
		where = in.RangeOf("variable")
	}
	secret, err := hex.DecodeString(strings.TrimSpace(text))
	switch {
	case err != nil || len(secret) < 16:
		r.AddError(where, "the key is not at least 16 bytes in hexadecimal", "Make one with: openssl rand -hex 32.")
	case len(*keys) == 2:
		r.AddError(b.DefRange, "a third key", "Two are valid at once: the first signs.")
	case len(*keys) == 1 && (*keys)[0].ID == id:
		r.AddError(b.LabelRanges[0], "the key stands twice", "A new key needs a new number.")
	default:
		*keys = append(*keys, fleet.PeerKey{ID: id, Secret: secret})
	}
}

func (r *reader) decodeLedger(b *hcl.Block, p *fleet.SessionConfig) {
	in := r.decodeBlock(b, []string{"folder", "before_answer", "at_most"})
	before := string(fleet.DurableNone)
	in.Decode("folder", &p.Ledger.Folder)
	if p.Ledger.Folder == "" {
		r.AddError(in.RangeOf("folder"), "folder is lacking", "Name a folder that outlives the process.")
	}
	in.OneOf("before_answer", &before, string(fleet.DurableNone), string(fleet.DurableProcess))
	p.Ledger.BeforeAnswer, p.Ledger.MaxWait = fleet.Durability(before), ledger.DefaultMaxWait
	in.Duration("at_most", &p.Ledger.MaxWait, time.Millisecond)
}
