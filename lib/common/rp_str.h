/* Length-counted strings: borrowed views and bounded owned names.
 *
 * A view never owns its bytes and need not end in NUL. A name owns up to
 * RP_NAME_MAX bytes inside itself and always has a NUL after them, so that
 * it can be passed to GLib.
 */
#ifndef RP_STR_H
#define RP_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RP_NAME_MAX 63 /* bytes, without the trailing NUL */

/* A borrowed run of bytes. */
struct rp_str {
    const char *data;
    size_t len;
};

/* A short owned string, as used for service and instance names. */
struct rp_name {
    uint8_t len;
    char data[RP_NAME_MAX + 1];
};

/* A view of a string literal. */
#define RP_STR(literal)                                                       \
    ((struct rp_str){.data = (literal), .len = sizeof(literal) - 1})

/* A view of a NUL-terminated string; NULL gives the empty view. */
struct rp_str RpStr_FromC(const char *text);

/* Whether both views hold the same bytes. */
bool RpStr_Equal(struct rp_str a, struct rp_str b);

/* Splits `text` at the first `separator`; `*rest` gets what follows it (the
 * empty view when there is none). Returns the part before it. */
struct rp_str RpStr_Split(struct rp_str text, char separator,
                          struct rp_str *rest);

/* `text` without leading and trailing blanks. */
struct rp_str RpStr_Trim(struct rp_str text);

/* Parses an unsigned decimal number of at most `max`. False if `text` is
 * anything else. */
bool RpStr_ToUint(struct rp_str text, uint64_t max, uint64_t *value);

/* Copies `text` into `name`; false (and an empty name) if it is too long. */
bool RpName_Set(struct rp_name *name, struct rp_str text);

/* The name's bytes. */
struct rp_str RpName_View(const struct rp_name *name);

/* Whether both names hold the same bytes. */
bool RpName_Equal(const struct rp_name *a, const struct rp_name *b);

/* The two functions that a GHashTable with `struct rp_name` keys wants. */
unsigned RpName_Hash(const void *name);
int RpName_EqualKeys(const void *a, const void *b);

/* Whether `text` is a lower-case DNS label: a-z, 0-9 and inner hyphens,
 * 1 to RP_NAME_MAX bytes. */
bool RpName_IsLabel(struct rp_str text);

#endif
