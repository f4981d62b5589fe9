package origin

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
)

// MaxRows bounds the records and keys of one message, so that it fits in a datagram.
const MaxRows = 1000

// Message is what gateways send to one another about origins: announcements, questions and answers.
type Message struct {
	Records []Record
	// Query is the number of a question, which the answer repeats in Answers; 0 for none.
	Query uint32
	// Asked are the keys that a question is about. In an answer they are those without a record.
	Asked []Key
	// Answers is the number of the question that this message answers; 0 for none.
	Answers uint32
	// Route, in a question, is the route whose only origin is asked for. Only, in an answer, is that; nil if there is none.
	Route *RouteID
	Only  *OnlyOrigin
}

// RouteID identifies a route in all configurations.
type RouteID struct {
	_            struct{} `cbor:",toarray"`
	Host, Prefix string
}

// OnlyOrigin is the origin of all streams on a route that can still be resumed, as the sender knows it.
type OnlyOrigin struct {
	_                struct{} `cbor:",toarray"`
	Service, Version string
	// Age is how long ago the store last confirmed the list of targets that the sender has.
	Age time.Duration
}

// encodedMessage is the encoding of a Message. Each origin stands in it once, because most records have the same few.
type encodedMessage struct {
	_       struct{} `cbor:",toarray"`
	Origins []encodedOrigin
	Records []encodedRecord
	Query   uint32
	Asked   []Key
	Answers uint32
	Route   *RouteID
	Only    *OnlyOrigin
}

type encodedOrigin struct {
	_                struct{} `cbor:",toarray"`
	Service, Version string
}

type encodedRecord struct {
	_      struct{} `cbor:",toarray"`
	Key    Key
	Origin int // index in encodedMessage.Origins; uncertainOrigin if it is uncertain
}

const uncertainOrigin = -1

// Encode returns the encoding of a message. Error: errs.Internal.
func (m Message) Encode() ([]byte, error) {
	e := encodedMessage{Query: m.Query, Asked: m.Asked, Answers: m.Answers, Route: m.Route, Only: m.Only}
	index := make(map[serving.Origin]int)
	for _, r := range m.Records {
		if r.IsUncertain {
			e.Records = append(e.Records, encodedRecord{Key: r.Key, Origin: uncertainOrigin})
			continue
		}
		i, ok := index[r.Origin]
		if !ok {
			i = len(e.Origins)
			index[r.Origin] = i
			e.Origins = append(e.Origins, encodedOrigin{Service: r.Origin.Service, Version: r.Origin.Version})
		}
		e.Records = append(e.Records, encodedRecord{Key: r.Key, Origin: i})
	}
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "encode origins: %v", err)
	}
	return data, nil
}

// DecodeMessage decodes a message. Error: errs.BadFrame.
func DecodeMessage(data []byte) (Message, error) {
	var e encodedMessage
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Message{}, errs.Newf(errs.BadFrame, "decode origins: %v", err)
	}
	if len(e.Records) > MaxRows || len(e.Asked) > MaxRows {
		return Message{}, errs.Newf(errs.BadFrame, "a message holds %d origins and %d keys, at most %d are allowed", len(e.Records), len(e.Asked), MaxRows)
	}
	m := Message{Query: e.Query, Asked: e.Asked, Answers: e.Answers, Route: e.Route, Only: e.Only}
	for _, r := range e.Records {
		switch {
		case r.Origin == uncertainOrigin:
			m.Records = append(m.Records, Record{Key: r.Key, IsUncertain: true})
		case r.Origin >= 0 && r.Origin < len(e.Origins):
			o := e.Origins[r.Origin]
			m.Records = append(m.Records, Record{Key: r.Key, Origin: serving.Origin{Service: o.Service, Version: o.Version}})
		default:
			return Message{}, errs.Newf(errs.BadFrame, "a record names origin %d of %d", r.Origin, len(e.Origins))
		}
	}
	return m, nil
}
