package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// File format. A file starts with a header: magic (8 bytes), salt (16 bytes), base sequence
// (8 bytes), CRC-32C of the header so far (4 bytes). Frames follow: marker (4 bytes), length of
// the payload in bytes (4 bytes), sequence of the frame's first entry (8 bytes), CRC-32C (4 bytes)
// over salt, marker, length, sequence and payload. The payload is a list of entries, each with a
// varint length. Integers are little-endian.
//
// In a segment, one frame holds all entries of one sync, and a frame is written only after the sync
// of the previous one. So a valid frame after an invalid one proves that the invalid frame was synced and
// has been damaged since, and is not the torn end of a write that a crash interrupted.
const (
	magicSize       = 8
	saltSize        = 16
	fileHeaderSize  = magicSize + saltSize + 8 + 4
	frameHeaderSize = 4 + 4 + 8 + 4
	// MaxFrameBytes bounds the payload of a frame, so that a damaged length cannot lead to a large
	// allocation.
	MaxFrameBytes = 64 << 20
)

var (
	segmentMagic  = [magicSize]byte{'T', 'M', 'U', 'X', 'S', 'E', 'G', '1'}
	snapshotMagic = [magicSize]byte{'T', 'M', 'U', 'X', 'S', 'N', 'P', '1'}
	frameMarker   = [4]byte{0xf5, 0x3a, 0x9c, 0x71}
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// Errors that occur when files are read.
var (
	// ErrDamaged means that synced data no longer matches its checksum or is missing.
	ErrDamaged = errors.New("stored data is damaged; replace the disk or let the replica rejoin with an empty folder")
	// errTorn means that a file ends with an incomplete frame.
	errTorn = errors.New("the file ends with an incomplete frame")
)

type fileHeader struct {
	magic [magicSize]byte
	salt  [saltSize]byte
	// base is the sequence of the entry before the file's first one.
	base uint64
}

func (h fileHeader) encode() []byte {
	b := make([]byte, 0, fileHeaderSize)
	b = append(b, h.magic[:]...)
	b = append(b, h.salt[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.base)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeFileHeader(content []byte, magic [magicSize]byte) (fileHeader, error) {
	if len(content) < fileHeaderSize {
		return fileHeader{}, errTorn
	}
	body := content[:fileHeaderSize-4]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(content[fileHeaderSize-4:]) {
		return fileHeader{}, errors.Wrap(ErrDamaged, "checksum of the file header")
	}
	h := fileHeader{}
	copy(h.magic[:], body)
	copy(h.salt[:], body[magicSize:])
	h.base = binary.LittleEndian.Uint64(body[magicSize+saltSize:])
	if h.magic != magic {
		return fileHeader{}, errors.Wrap(ErrDamaged, "file type in the file header")
	}
	return h, nil
}

// appendFrameHeader appends an empty frame header, which fillFrameHeader fills in later.
func appendFrameHeader(b []byte) []byte {
	return append(b, make([]byte, frameHeaderSize)...)
}

// appendEntry appends an entry with its length to a frame.
func appendEntry(b, entry []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(entry)))
	return append(b, entry...)
}

// fillFrameHeader fills in the header of a frame made with appendFrameHeader and appendEntry.
func fillFrameHeader(frame []byte, salt [saltSize]byte, first uint64) {
	copy(frame, frameMarker[:])
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(frame)-frameHeaderSize))
	binary.LittleEndian.PutUint64(frame[8:], first)
	binary.LittleEndian.PutUint32(frame[16:], frameChecksum(frame, salt))
}

func frameChecksum(frame []byte, salt [saltSize]byte) uint32 {
	sum := crc32.Checksum(salt[:], castagnoli)
	sum = crc32.Update(sum, castagnoli, frame[:frameHeaderSize-4])
	return crc32.Update(sum, castagnoli, frame[frameHeaderSize:])
}

// parseFrame returns the frame at the start of content; ok is false if there is no valid one.
func parseFrame(content []byte, salt [saltSize]byte) (frame []byte, ok bool) {
	if len(content) < frameHeaderSize || !bytes.HasPrefix(content, frameMarker[:]) {
		return nil, false
	}
	length := int64(binary.LittleEndian.Uint32(content[4:]))
	if length > MaxFrameBytes || int64(len(content)) < frameHeaderSize+length {
		return nil, false
	}
	frame = content[:frameHeaderSize+length]
	if frameChecksum(frame, salt) != binary.LittleEndian.Uint32(frame[16:]) {
		return nil, false
	}
	return frame, true
}

// containsFrame reports whether a valid frame starts anywhere in content.
func containsFrame(content []byte, salt [saltSize]byte) bool {
	for {
		at := bytes.Index(content, frameMarker[:])
		if at < 0 {
			return false
		}
		if _, ok := parseFrame(content[at:], salt); ok {
			return true
		}
		content = content[at+1:]
	}
}

// readFile calls visit with each entry and its sequence. It returns the sequence of the last entry
// and the size in bytes of the valid part. The error is errTorn if the file header is incomplete or
// no valid frame follows an invalid one. It is ErrDamaged if a valid frame follows an invalid one, or
// if the header, a frame's sequence or an entry's length is wrong.
func readFile(content []byte, magic [magicSize]byte, visit func(sequence uint64, entry []byte) error) (last uint64, size int64, err error) {
	h, err := decodeFileHeader(content, magic)
	if err != nil {
		return 0, 0, err
	}
	last, size = h.base, fileHeaderSize
	for size < int64(len(content)) {
		frame, ok := parseFrame(content[size:], h.salt)
		if !ok && containsFrame(content[size+1:], h.salt) {
			return last, size, errors.Wrapf(ErrDamaged, "frame at byte %d", size)
		}
		if !ok {
			return last, size, errTorn
		}
		last, err = readFrame(frame, last, visit)
		if err != nil {
			return last, size, err
		}
		size += int64(len(frame))
	}
	return last, size, nil
}

// readFrame calls visit with each entry of the frame. It returns the sequence of the last entry, or
// last if there is none.
func readFrame(frame []byte, last uint64, visit func(uint64, []byte) error) (uint64, error) {
	if first := binary.LittleEndian.Uint64(frame[8:]); first != last+1 {
		return last, errors.Wrapf(ErrDamaged, "frame starts with entry %d, but the entry before it is %d", first, last)
	}
	rest := frame[frameHeaderSize:]
	for len(rest) > 0 {
		length, n := binary.Uvarint(rest)
		if n <= 0 || uint64(len(rest)-n) < length {
			return last, errors.Wrap(ErrDamaged, "length of an entry")
		}
		last++
		if err := visit(last, rest[n:n+int(length)]); err != nil {
			return last, err
		}
		rest = rest[n+int(length):]
	}
	return last, nil
}
