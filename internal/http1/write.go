package http1

import "strconv"

// AppendField appends a field to a head. It omits control characters from the value, since they could end the field early.
func AppendField(head []byte, name, value string) []byte {
	head = append(append(head, name...), ": "...)
	for i := range len(value) {
		if c := value[i]; c >= ' ' && c != 0x7f || c == '\t' {
			head = append(head, c)
		}
	}
	return append(head, "\r\n"...)
}

// AppendLength appends the Content-Length field and the end of the head.
func AppendLength(head []byte, length int) []byte {
	head = strconv.AppendInt(append(head, "Content-Length: "...), int64(length), 10)
	return append(head, "\r\n\r\n"...)
}

// AppendBody appends the Content-Length field, the end of the head and the body.
func AppendBody(head, body []byte) []byte { return append(AppendLength(head, len(body)), body...) }
