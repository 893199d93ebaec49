package register

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"curlewwalk/desired"
	"curlewwalk/vault"
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

// Disk keeps a voter in a vault.
type Disk struct {
	Vault *vault.Vault
	oaths uint64
}

// oath is the small part of a voter: what it promised and who sits where.
type oath struct {
	ID       uint64        `json:"id"`
	Inc      uint64        `json:"incarnation"`
	Phase    Phase         `json:"phase"`
	Promised uint64        `json:"promised"`
	Seats    map[int]Chair `json:"seats"`
}

// wordHead is the first line of a word's file; the operator's bytes follow.
type wordHead struct {
	Mark
	DesiredStamp uint64   `json:"desired_stamp"`
	Emptied      []string `json:"emptied"`

	CalendarStamp uint64            `json:"calendar_stamp,omitempty"`
	Calendar      []byte            `json:"calendar,omitempty"`
	Closures      []desired.Closure `json:"closures,omitempty"`

	Edition uint64 `json:"edition,omitempty"`
	Sent    []byte `json:"sent,omitempty"`
}

// Load reads a voter. One whose newest files can't be read whole has lost what
// it promised: its files are set aside and it must take its seat anew.
func (d *Disk) Load(slot, slots int) (Voter, error) {
	v := Voter{Self: From{Slot: slot}, Slots: slots, Phase: Virgin, Seats: map[int]Chair{}}
	oathName, oathData, oathTorn, err := d.Vault.Newest(kindOath)
	if err != nil {
		return v, err
	}
	wordName, wordData, wordTorn, err := d.Vault.Newest(kindWord)
	if err != nil {
		return v, err
	}
	if oathName == "" && wordName == "" {
		// An empty disk draws its identity before it says anything.
		v.Self.ID, v.OathDirty = rand.Uint64()|1, true
		return v, d.Save(v)
	}
	var o oath
	if oathName == "" || oathTorn || wordTorn || json.Unmarshal(oathData, &o) != nil {
		return d.lose(v)
	}
	fmt.Sscanf(oathName, "%d", &d.oaths)
	v.Self.ID, v.Self.Inc, v.Phase, v.Promised, v.Seats = o.ID, o.Inc, o.Phase, o.Promised, o.Seats
	if v.Seats == nil {
		v.Seats = map[int]Chair{}
	}
	if wordName != "" && v.Phase == Established {
		head, body, _ := bytes.Cut(wordData, []byte("\n"))
		var h wordHead
		if json.Unmarshal(head, &h) != nil {
			return d.lose(v)
		}
		v.Mark = h.Mark
		v.Word = desired.Word{Stamp: h.Stamp, DesiredStamp: h.DesiredStamp, Emptied: h.Emptied, Desired: body,
			CalendarStamp: h.CalendarStamp, Calendar: h.Calendar, Closures: h.Closures,
			Edition: h.Edition, Sent: h.Sent}
		v.Promised = max(v.Promised, h.Epoch)
	}
	return v, nil
}

func (d *Disk) lose(v Voter) (Voter, error) {
	for _, kind := range []string{kindWord, kindOath} {
		if err := d.Vault.SetAside(kind); err != nil {
			return v, err
		}
	}
	v = Voter{Self: From{Slot: v.Self.Slot, ID: rand.Uint64() | 1}, Slots: v.Slots, Phase: Lost, Seats: map[int]Chair{}, OathDirty: true}
	return v, d.Save(v)
}

// Save puts the dirty parts of a voter on disk: the word first, since an oath
// says that what it stands for is there.
func (d *Disk) Save(v Voter) error {
	if v.WordDirty {
		head, err := json.Marshal(wordHead{Mark: v.Mark, DesiredStamp: v.Word.DesiredStamp, Emptied: v.Word.Emptied,
			CalendarStamp: v.Word.CalendarStamp, Calendar: v.Word.Calendar, Closures: v.Word.Closures,
			Edition: v.Word.Edition, Sent: v.Word.Sent})
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
		data, err := json.Marshal(oath{ID: v.Self.ID, Inc: v.Self.Inc, Phase: v.Phase, Promised: v.Promised, Seats: v.Seats})
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
