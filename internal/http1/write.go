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

// AppendBody appends the Content-Length field, the end of the head and the body.
func AppendBody(head, body []byte) []byte {
	head = strconv.AppendInt(append(head, "Content-Length: "...), int64(len(body)), 10)
	return append(append(head, "\r\n\r\n"...), body...)
}
