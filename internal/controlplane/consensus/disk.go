package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// The kinds of file. (DESIGN 6.1)
const (
	kindOath = "oath"
	kindWord = "word"
)

const (
	keepOaths = 3
	keepWords = 16 // old words stay for operators to look at (ours)
)

// Disk keeps an acceptor in a vault.
type Disk struct {
	Vault *storage.Vault
	oaths uint64
}

// oath is the small part of an acceptor: what it promised and who sits where.
type oath struct {
	ID       uint64        `json:"id"`
	Inc      uint64        `json:"incarnation"`
	Phase    Phase         `json:"phase"`
	Promised uint64        `json:"promised"`
	Seats    map[int]Chair `json:"seats"`
	// Slot, Founded and Founders are not in the files of older versions: their
	// settings say them.
	Slot     *int            `json:"slot,omitempty"`
	Founded  int             `json:"founded,omitempty"`
	Founders []config.Member `json:"founders,omitempty"`
}

// wordHead is the first line of a word's file; the operator's bytes follow.
type wordHead struct {
	Mark
	DesiredStamp uint64   `json:"desired_stamp"`
	Emptied      []string `json:"emptied"`

	CalendarStamp uint64           `json:"calendar_stamp,omitempty"`
	Calendar      []byte           `json:"calendar,omitempty"`
	Closures      []config.Closure `json:"closures,omitempty"`

	Generation uint64         `json:"edition,omitempty"`
	Sent       []byte         `json:"sent,omitempty"`
	Taken      []config.Taken `json:"taken,omitempty"`

	Evacuations []config.Evacuation `json:"evacuations,omitempty"`
	Forgotten   uint64              `json:"forgotten,omitempty"`

	Slots    []config.Member `json:"slots,omitempty"`
	Formerly []config.Member `json:"formerly,omitempty"`
	Top      int             `json:"top,omitempty"`
}

// Load reads an acceptor. One whose newest files can't be read whole has lost what
// it promised: its files are set aside and it must take its seat anew.
func (d *Disk) Load(s Start) (Acceptor, error) {
	v := s.Empty(rand.Uint64() | 1)
	oathName, oathData, oathTorn, err := d.Vault.Newest(kindOath)
	if err != nil {
		return v, err
	}
	wordName, wordData, wordTorn, err := d.Vault.Newest(kindWord)
	if err != nil {
		return v, err
	}
	if oathName == "" && wordName == "" {
		// An empty disk has its identity, or a founder's seat, before it says anything.
		return v, d.Save(v)
	}
	var o oath
	if oathName == "" || oathTorn || wordTorn || json.Unmarshal(oathData, &o) != nil {
		return d.lose(s, oathName)
	}
	fmt.Sscanf(oathName, "%d", &d.oaths)
	v = Acceptor{Self: From{Slot: s.Slot, ID: o.ID, Inc: o.Inc}, Founded: s.Slots, Phase: o.Phase, Promised: o.Promised, Seats: o.Seats}
	if o.Slot != nil {
		v.Self.Slot, v.Founded, v.Founders = *o.Slot, o.Founded, o.Founders
	}
	if v.Seats == nil {
		v.Seats = map[int]Chair{}
	}
	if wordName != "" && v.Phase == Lost {
		return v, d.Vault.SetAside(kindWord, 0) // lose ended before that
	}
	if wordName != "" && (v.Phase == Established || v.Phase == Seeking) {
		head, body, _ := bytes.Cut(wordData, []byte("\n"))
		var h wordHead
		if json.Unmarshal(head, &h) != nil {
			return d.lose(s, oathName)
		}
		v.Mark = h.Mark
		v.Word = config.Word{
			Stamp: h.Stamp, DesiredStamp: h.DesiredStamp, Emptied: h.Emptied, Desired: body,
			CalendarStamp: h.CalendarStamp, Calendar: h.Calendar, Closures: h.Closures,
			Generation: h.Generation, Sent: h.Sent, Taken: h.Taken,
			Evacuations: h.Evacuations, Forgotten: h.Forgotten,
			Slots: h.Slots, Formerly: h.Formerly, Top: h.Top,
		}
		v.Promised = max(v.Promised, h.Epoch)
	}
	return v, nil
}

// lose takes a new identity, and sets aside what was before. The identity is on disk before
// anything else changes: wherever this ends, what is found next is as it was, or has the
// new identity, and is never an empty disk, which a founder's would be born on once more.
func (d *Disk) lose(s Start, newestOath string) (Acceptor, error) {
	fmt.Sscanf(newestOath, "%d", &d.oaths)
	s.First = false
	v := s.Empty(rand.Uint64() | 1)
	if v.Phase == Virgin {
		v.Phase = Lost
	}
	if err := d.Save(v); err != nil {
		return v, err
	}
	if err := d.Vault.SetAside(kindOath, 1); err != nil {
		return v, err
	}
	return v, d.Vault.SetAside(kindWord, 0)
}

// Save puts the dirty parts of an acceptor on disk: the word first, since an oath
// says that what it stands for is there.
func (d *Disk) Save(v Acceptor) error {
	if v.WordDirty {
		head, err := json.Marshal(wordHead{
			Mark: v.Mark, DesiredStamp: v.Word.DesiredStamp, Emptied: v.Word.Emptied,
			CalendarStamp: v.Word.CalendarStamp, Calendar: v.Word.Calendar, Closures: v.Word.Closures,
			Generation: v.Word.Generation, Sent: v.Word.Sent, Taken: v.Word.Taken,
			Evacuations: v.Word.Evacuations, Forgotten: v.Word.Forgotten,
			Slots: v.Word.Slots, Formerly: v.Word.Formerly, Top: v.Word.Top,
		})
		if err != nil {
			return eris.Wrap(err, "word")
		}
		name := fmt.Sprintf("%020d.%020d", v.Mark.Epoch, v.Mark.Stamp)
		if err := d.Vault.Save(kindWord, name, append(append(head, '\n'), v.Word.Desired...)); err != nil {
			return err
		}
		if err := d.Vault.Thin(kindWord, keepWords); err != nil {
			return err
		}
	}
	if v.OathDirty {
		data, err := json.Marshal(oath{
			ID: v.Self.ID, Inc: v.Self.Inc, Phase: v.Phase, Promised: v.Promised, Seats: v.Seats,
			Slot: &v.Self.Slot, Founded: v.Founded, Founders: v.Founders,
		})
		if err != nil {
			return eris.Wrap(err, "oath")
		}
		d.oaths++
		if err := d.Vault.Save(kindOath, fmt.Sprintf("%020d", d.oaths), data); err != nil {
			return err
		}
		return d.Vault.Thin(kindOath, keepOaths)
	}
	return nil
}
