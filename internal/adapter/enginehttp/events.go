package enginehttp

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/adapter/httpclient"
)

const (
	eventBuffer = 4 << 10 // bytes
	maxLine     = 1 << 20 // bytes of one line of an event
)

var (
	prefixID   = []byte("id:")
	prefixData = []byte("data:")
	dataDone   = []byte("[DONE]")
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBuffer) }}

// readEvents hands the tokens of a stream of server-sent events to sink, up to
// [DONE]. A token that came before is passed over; a gap, or an end without
// [DONE], is errs.StreamBroken. An error of sink comes back as sinkErr.
func readEvents(body io.Reader, next int, sink func(platform.Token) error) (err, sinkErr error) {
	br := readers.Get().(*bufio.Reader)
	br.Reset(body)
	defer func() {
		br.Reset(nil)
		readers.Put(br)
	}()
	id := -1
	for {
		line, err := readLine(br)
		if err != nil {
			return err, nil
		}
		if text, ok := bytes.CutPrefix(line, prefixID); ok {
			id, err = strconv.Atoi(string(bytes.TrimSpace(text)))
			if err != nil {
				return broken("the position of an event is no number"), nil
			}
			continue
		}
		data, ok := bytes.CutPrefix(line, prefixData)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, dataDone) {
			return nil, nil
		}
		if id > next || id < 0 {
			return broken("token " + strconv.Itoa(next) + " is missing"), nil
		}
		if id < next {
			continue
		}
		if err := sink(platform.Token{Pos: id, Data: data}); err != nil {
			return nil, err
		}
		next++
	}
}

// readLine returns the next line. It is valid until the next read.
func readLine(br *bufio.Reader) ([]byte, error) {
	line, err := br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = readLongLine(br, line)
	}
	if err == nil {
		return line, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nil, &httpclient.Error{Sent: true, Answered: true, Cause: errors.WithStack(err)}
}

func readLongLine(br *bufio.Reader, start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) < maxLine {
		more, err := br.ReadSlice('\n')
		line = append(line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, errs.Newf(errs.BadFrame, "a line of an event has more than %d bytes", maxLine)
}

func broken(detail string) error {
	return errors.WithStack(errs.New(errs.StreamBroken, detail))
}
