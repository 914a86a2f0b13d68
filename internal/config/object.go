package config

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// object reads the members of a JSON object. It keeps the first error, which names the key at fault
// by its path. Members that are absent or null read as zero.
type object struct {
	value *fastjson.Value
	path  string
	err   *error
}

func (o object) key(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

func (o object) fail(name, format string, args ...any) {
	if *o.err == nil {
		*o.err = fmt.Errorf("%s: %s", o.key(name), fmt.Sprintf(format, args...))
	}
}

// get returns the member of that type, or nil.
func (o object) get(name string, want ...fastjson.Type) *fastjson.Value {
	member := o.value.Get(name)
	if member == nil || member.Type() == fastjson.TypeNull {
		return nil
	}
	for _, wanted := range want {
		if member.Type() == wanted {
			return member
		}
	}
	o.fail(name, "want a value of type %v, got %v", want[0], member.Type())
	return nil
}

func (o object) object(name string) object {
	return object{value: o.get(name, fastjson.TypeObject), path: o.key(name), err: o.err}
}

func (o object) objects(name string) []object {
	var list []object
	for i, v := range o.list(name) {
		at := name + "[" + strconv.Itoa(i) + "]"
		if v.Type() != fastjson.TypeObject {
			o.fail(at, "want an object, got %v", v.Type())
		}
		list = append(list, object{value: v, path: o.key(at), err: o.err})
	}
	return list
}

// visitKeys calls f with the path of every key. The objects of a list count as one, whose keys are those that
// all of them have.
func (o object) visitKeys(visit func(key string)) {
	o.value.GetObject().Visit(func(k []byte, member *fastjson.Value) {
		name := string(k)
		visit(o.key(name))
		switch member.Type() {
		case fastjson.TypeObject:
			object{value: member, path: o.key(name)}.visitKeys(visit)
		case fastjson.TypeArray:
			count := map[string]int{}
			for _, item := range member.GetArray() {
				object{value: item, path: o.key(name) + "[]"}.visitKeys(func(key string) { count[key]++ })
			}
			for key, n := range count {
				if n == len(member.GetArray()) {
					visit(key)
				}
			}
		}
	})
}

func (o object) list(name string) []*fastjson.Value {
	if v := o.get(name, fastjson.TypeArray); v != nil {
		return v.GetArray()
	}
	return nil
}

func (o object) text(name string) string {
	if v := o.get(name, fastjson.TypeString); v != nil {
		return string(v.GetStringBytes())
	}
	return ""
}

func (o object) number(name string) float64 {
	member := o.get(name, fastjson.TypeNumber)
	if member == nil {
		return 0
	}
	number := member.GetFloat64()
	if math.IsNaN(number) || math.IsInf(number, 0) {
		o.fail(name, "want a finite number, got %v", member)
		return 0
	}
	return number
}

// hex reads a number that is written as a string of up to 16 hex digits.
func (o object) hex(name string) uint64 {
	text := o.text(name)
	if text == "" {
		return 0
	}
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		o.fail(name, "want up to 16 hex digits, got %.40q", text)
	}
	return number
}

func (o object) integer(name string) int64 {
	number := o.number(name)
	if number != math.Trunc(number) || math.Abs(number) > 1<<53 {
		o.fail(name, "want a whole number, got %v", number)
		return 0
	}
	return int64(number)
}

// microseconds reads a time in microseconds.
func (o object) microseconds(name string) time.Duration {
	count := o.integer(name)
	if count > math.MaxInt64/1000 || count < math.MinInt64/1000 {
		o.fail(name, "%d microseconds are too many", count)
		return 0
	}
	return time.Duration(count) * time.Microsecond
}

func (o object) boolean(name string) bool {
	v := o.get(name, fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.GetBool()
}

func (o object) numbers(name string) []float64 {
	var list []float64
	for i, v := range o.list(name) {
		if v.Type() != fastjson.TypeNumber {
			o.fail(fmt.Sprintf("%s[%d]", name, i), "want a number, got %v", v.Type())
		}
		list = append(list, v.GetFloat64())
	}
	return list
}

func (o object) booleans(name string) []bool {
	var list []bool
	for i, v := range o.list(name) {
		if t := v.Type(); t != fastjson.TypeTrue && t != fastjson.TypeFalse {
			o.fail(fmt.Sprintf("%s[%d]", name, i), "want true or false, got %v", t)
		}
		list = append(list, v.GetBool())
	}
	return list
}

func (o object) texts(name string) []string {
	var list []string
	for i, v := range o.list(name) {
		if v.Type() != fastjson.TypeString {
			o.fail(fmt.Sprintf("%s[%d]", name, i), "want a string, got %v", v.Type())
		}
		list = append(list, string(v.GetStringBytes()))
	}
	return list
}

// enum reads a word that stands for a value of T.
func enum[T any](o object, name string, values map[string]T) T {
	text := o.text(name)
	value, ok := values[text]
	if !ok {
		o.fail(name, "unknown value %q", text)
	}
	return value
}
