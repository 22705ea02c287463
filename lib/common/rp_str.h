/* Length-counted strings: borrowed views, and short names that own their
 * bytes.
 *
 * A view does not own its bytes, which need not end with a NUL. A name stores
 * up to RP_NAME_MAX bytes in the struct itself, always followed by a NUL, so
 * that it can be passed to GLib.
 */
#ifndef RP_STR_H
#define RP_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RP_NAME_MAX 63 /* bytes, without the trailing NUL */

/* A view: borrowed bytes. */
struct rp_str {
    const char *data;
    size_t len;
};

/* A short string that owns its bytes, such as a service or instance name. */
struct rp_name {
    uint8_t len;
    char data[RP_NAME_MAX + 1];
};

/* A view of a string literal. */
#define RP_STR(literal)                                                       \
    ((struct rp_str){.data = (literal), .len = sizeof(literal) - 1})

/* Returns a view of a NUL-terminated string; the empty view for NULL. */
struct rp_str RpStr_FromC(const char *text);

/* Returns whether both views have the same bytes. */
bool RpStr_Equal(struct rp_str a, struct rp_str b);

/* Splits `text` at the first `separator`. Returns the part before it and sets
 * `*rest` to the part after it. Without a separator, returns `text` and sets
 * `*rest` to the empty view. */
struct rp_str RpStr_Split(struct rp_str text, char separator,
                          struct rp_str *rest);

/* Returns `text` without leading and trailing spaces, tabs, CRs and LFs. */
struct rp_str RpStr_Trim(struct rp_str text);

/* Parses an unsigned decimal number of at most `max`, without a sign or
 * blanks. Returns false if `text` is not such a number. */
bool RpStr_ToUint(struct rp_str text, uint64_t max, uint64_t *value);

/* Copies `text` into `name`. If it is longer than RP_NAME_MAX, makes the name
 * empty and returns false. */
bool RpName_Set(struct rp_name *name, struct rp_str text);

/* Returns a view of a name. */
struct rp_str RpName_View(const struct rp_name *name);

/* Returns whether both names have the same bytes. */
bool RpName_Equal(const struct rp_name *a, const struct rp_name *b);

/* Hash and equality functions for a GHashTable with `struct rp_name` keys. */
unsigned RpName_Hash(const void *name);
int RpName_EqualKeys(const void *a, const void *b);

/* Returns whether `text` is a lower-case DNS label: 1 to RP_NAME_MAX of the
 * characters a-z, 0-9 and hyphen, without a hyphen at either end. */
bool RpName_IsLabel(struct rp_str text);

#endif
