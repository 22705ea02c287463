/* Operations on views and names. */
#include "rp_str.h"

#include <glib.h>
#include <string.h>

struct rp_str
RpStr_FromC(const char *text)
{
    return (struct rp_str){.data = text ? text : "",
                           .len = text ? strlen(text) : 0};
}

bool
RpStr_Equal(struct rp_str a, struct rp_str b)
{
    return a.len == b.len && (a.len == 0 || !memcmp(a.data, b.data, a.len));
}

struct rp_str
RpStr_Split(struct rp_str text, char separator, struct rp_str *rest)
{
    const char *match = text.len ? memchr(text.data, separator, text.len)
                                 : NULL;

    if (!match) {
        *rest = (struct rp_str){.data = text.data + text.len, .len = 0};
        return text;
    }
    size_t head_len = (size_t)(match - text.data);
    *rest = (struct rp_str){.data = match + 1, .len = text.len - head_len - 1};
    return (struct rp_str){.data = text.data, .len = head_len};
}

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

struct rp_str
RpStr_Trim(struct rp_str text)
{
    while (text.len && is_blank(text.data[0])) {
        text.data++;
        text.len--;
    }
    while (text.len && is_blank(text.data[text.len - 1])) {
        text.len--;
    }
    return text;
}

bool
RpStr_ToUint(struct rp_str text, uint64_t max, uint64_t *value)
{
    uint64_t number = 0;

    if (text.len == 0) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        if (text.data[i] < '0' || text.data[i] > '9') {
            return false;
        }
        uint64_t digit = (uint64_t)(text.data[i] - '0');
        if (number > (UINT64_MAX - digit) / 10) {
            return false;
        }
        number = number * 10 + digit;
    }
    if (number > max) {
        return false;
    }
    *value = number;
    return true;
}

bool
RpName_Set(struct rp_name *name, struct rp_str text)
{
    memset(name, 0, sizeof *name);
    if (text.len > RP_NAME_MAX) {
        return false;
    }
    if (text.len) {
        memcpy(name->data, text.data, text.len);
    }
    name->len = (uint8_t)text.len;
    return true;
}

struct rp_str
RpName_View(const struct rp_name *name)
{
    return (struct rp_str){.data = name->data, .len = name->len};
}

bool
RpName_Equal(const struct rp_name *a, const struct rp_name *b)
{
    return RpStr_Equal(RpName_View(a), RpName_View(b));
}

unsigned
RpName_Hash(const void *name)
{
    return g_str_hash(((const struct rp_name *)name)->data);
}

int
RpName_EqualKeys(const void *a, const void *b)
{
    return RpName_Equal(a, b);
}

static bool
is_label_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

bool
RpName_IsLabel(struct rp_str text)
{
    if (text.len == 0 || text.len > RP_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        if (!is_label_char(text.data[i])) {
            return false;
        }
    }
    return text.data[0] != '-' && text.data[text.len - 1] != '-';
}
