// Package operator reads the operator's file, in HCL: the settings that the platform's configuration does not have. It
// reports each error with file, line and column.
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

// File holds the settings of an operator's file.
type File struct {
	ClockError    time.Duration
	Sessions      *fleet.SessionConfig // nil if there is no such block
	Document      *routes.Document     // settings that can change while a gateway runs; nil if there are none
	WatchDuration time.Duration        // how long after a change of Document it is undone if health worsens
	Digest        uint64               // hash of Text, never 0
	Text          []byte
	Agreement     *fleet.Config             // nil if there is no such block; Apply sets Name and Build
	Coordination  *fleet.CoordinationConfig // nil if there is no such block
	ControlSocket string                    // path of the control socket; empty for none
	ChangesFolder string                    // folder that stores changes across restarts; empty for none
}

// Apply copies the settings into a gateway's configuration.
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
		c.Changes = &gateway.ChangeStore{Path: f.ChangesFolder, Parse: documentParser("stored change")}
	}
}

// documentParser returns a parser of documents that reports error positions under the given name.
func documentParser(name string) func([]byte) (*routes.Document, error) {
	return func(text []byte) (*routes.Document, error) { return Document(text, name) }
}

// Read reads and parses a file.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(text, path)
}

// Parse parses the text of a file. Relative paths in it are relative to the folder of the file.
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
			r.AddError(b.DefRange, "a second block of sessions", "Only one is allowed.")
		case b.Type == "sessions":
			f.Sessions = r.decodeSessions(b)
		case b.Type == "agreement" && f.Agreement != nil:
			r.AddError(b.DefRange, "a second block of agreement", "Only one is allowed.")
		case b.Type == "agreement":
			f.Agreement = r.decodeAgreement(b)
		case b.Type == "coordination" && f.Coordination != nil:
			r.AddError(b.DefRange, "a second block of coordination", "Only one is allowed.")
		case b.Type == "coordination":
			f.Coordination = r.decodeCoordination(b)
		case b.Type == "spread":
			r.AddError(b.DefRange, "spread is replaced by agreement", "Remove the block spread and add a block agreement (docs/agreement.md): all gateways agree on what is applied at one.")
		}
	}
	if f.Coordination != nil && f.Agreement == nil {
		r.AddError(r.coordinationRange, "coordination requires agreement", "Add a block agreement (docs/agreement.md): gateways that coordinate agree on their list.")
	}
	if f.Agreement != nil {
		r.checkAgreementConflicts(top, f)
	} else if r.positionsRange != (hcl.Range{}) {
		r.AddError(r.positionsRange, "positions requires other gateways to report to", "List them in gateways.")
	}
	f.Document = r.decodeDocument(top)
	if r.Err() != nil {
		return nil, r.Err()
	}
	return f, nil
}

// decodeTopLevel decodes the attributes and blocks of the file itself.
func (r *reader) decodeTopLevel(body hcl.Body) *content {
	return &content{r.Content(body, hcl.Range{}, "clock_error control changes watch log in_flight exclude drain", "sessions", "spread", "agreement", "coordination", "tenant", "route")}
}

// decodeSessions decodes the block sessions.
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
			r.AddError(b.DefRange, "a second block of "+b.Type, "Only one is allowed.")
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
		r.AddError(in.RangeOf("tokens"), "signed tokens require a key", "Add the block peers with a block key.")
	}
	return p
}

// decodePeers decodes the block peers of sessions.
func (r *reader) decodePeers(b *hcl.Block, p *fleet.SessionConfig) {
	in := r.decodeBlock(b, []string{"listen", "gateways", "messages_per_txn", "peer_wait", "keepalive", "positions"}, "key")
	in.decodeAddress("listen", &p.Listen)
	var texts []string
	if a := in.Attrs["gateways"]; a != nil {
		in.Decode("gateways", &texts)
		r.gatewaysRange = a.Range
		for _, text := range texts {
			address, err := netip.ParseAddrPort(text)
			switch {
			case err != nil || !address.Addr().Is4() || address.Port() == 0:
				r.AddError(a.Expr.Range(), fmt.Sprintf("%q is not an IPv4 address with a port", text), "Write it as 10.0.0.4:7946.")
			case slices.Contains(p.Gateways, address):
				r.AddError(a.Expr.Range(), fmt.Sprintf("%q is listed twice", text), "List each gateway once, in the same order at all gateways.")
			default:
				p.Gateways = append(p.Gateways, address)
			}
		}
		if p.Listen.IsValid() && len(p.Gateways) == len(texts) && !slices.Contains(p.Gateways, p.Listen) {
			r.AddError(a.Expr.Range(), fmt.Sprintf("the list does not contain %v, at which this gateway listens", p.Listen), "List all gateways, including this one.")
		}
	}
	if len(p.Gateways) > 1 && !p.Listen.IsValid() {
		r.AddError(b.DefRange, "listen is missing", "Set the address at which the other gateways reach this one.")
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
		r.AddError(b.DefRange, "no key is given", "Gateways authenticate each other with a shared key: key \"1\" { file = \"...\" }.")
	}
}

// decodeKey decodes a block key: a shared secret in hexadecimal, from a file or an environment variable.
func (r *reader) decodeKey(b *hcl.Block, keys *[]fleet.PeerKey) {
	in := r.decodeBlock(b, []string{"file", "variable"})
	var id uint8
	if _, err := fmt.Sscanf(b.Labels[0], "%d", &id); err != nil || fmt.Sprint(id) != b.Labels[0] {
		r.AddError(b.LabelRanges[0], "the name of a key must be a number from 0 to 255", "As in key \"1\".")
		return
	}
	var file, variable, text string
	in.Decode("file", &file)
	in.Decode("variable", &variable)
	switch {
	case (file == "") == (variable == ""):
		r.AddError(b.DefRange, "a key requires either file or variable", "Set exactly one of them.")
		return
	case file != "":
		if !filepath.IsAbs(file) {
			file = filepath.Join(r.folder, file)
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			r.AddError(in.RangeOf("file"), "the key file cannot be read", err.Error())
			return
		}
		text = string(raw)
	default:
		text = os.Getenv(variable)
	}
	secretRange := in.RangeOf("file")
	if variable != "" {
		secretRange = in.RangeOf("variable")
	}
	secret, err := hex.DecodeString(strings.TrimSpace(text))
	switch {
	case err != nil || len(secret) < 16:
		r.AddError(secretRange, "the key is not a hexadecimal string of at least 16 bytes", "Generate one with: openssl rand -hex 32.")
	case len(*keys) == 2:
		r.AddError(b.DefRange, "more than two keys", "Two are valid at once; the first one signs.")
	case len(*keys) == 1 && (*keys)[0].ID == id:
		r.AddError(b.LabelRanges[0], "the key number is used twice", "A new key needs a new number.")
	default:
		*keys = append(*keys, fleet.PeerKey{ID: id, Secret: secret})
	}
}

// decodeLedger decodes the block ledger of sessions.
func (r *reader) decodeLedger(b *hcl.Block, p *fleet.SessionConfig) {
	in := r.decodeBlock(b, []string{"folder", "before_answer", "at_most"})
	beforeAnswer := string(fleet.DurableNone)
	in.Decode("folder", &p.Ledger.Folder)
	if p.Ledger.Folder == "" {
		r.AddError(in.RangeOf("folder"), "folder is missing", "Set a folder that persists across restarts.")
	}
	in.OneOf("before_answer", &beforeAnswer, string(fleet.DurableNone), string(fleet.DurableProcess))
	p.Ledger.BeforeAnswer, p.Ledger.MaxWait = fleet.Durability(beforeAnswer), ledger.DefaultMaxWait
	in.Duration("at_most", &p.Ledger.MaxWait, time.Millisecond)
}
