/* Errors: a struct passed down that collects findings with their place.
 *
 * A function that can fail takes a `struct rp_error *` and returns an
 * `enum rp_code`. It adds one finding for each thing that is wrong, so that
 * a caller can report all of them together. RP_FORWARD_IF_ERROR returns the
 * code of a failed call to the caller's caller.
 */
#ifndef RP_ERROR_H
#define RP_ERROR_H

#include <glib.h>
#include <stdbool.h>

#include "rp_str.h"

/* What kind of failure it is. RP_OK is not a failure. */
enum rp_code {
    RP_OK = 0,
    RP_ERR_SETTING,   /* a flag or an environment variable is wrong */
    RP_ERR_DOCUMENT,  /* a service document is wrong */
    RP_ERR_CONFLICT,  /* based on a revision that is no longer current */
    RP_ERR_NOT_FOUND, /* no such service or instance */
    RP_ERR_FORMAT,    /* bytes that cannot be decoded */
    RP_ERR_AUTH,      /* a frame or peer that failed authentication */
    RP_ERR_LIMIT,     /* over a size or count limit */
    RP_ERR_IO,        /* the operating system refused */
    RP_ERR_CORRUPT,   /* stored data is damaged */
    RP_ERR_NO_LEADER, /* this replica cannot decide just now */
    RP_ERR_TIMEOUT,   /* no answer before the deadline */
    RP_CODE_COUNT
};

/* One thing that is wrong, and where: a flag, "line 4", a file. */
struct rp_finding {
    enum rp_code code;
    GString *place;
    GString *text;
};

/* The findings so far, in the order in which they were added. */
struct rp_error {
    GArray *findings; /* of struct rp_finding; NULL while there are none */
};

/* Returns the failed call's code from the enclosing function. */
#define RP_FORWARD_IF_ERROR(call)                                             \
    do {                                                                      \
        enum rp_code forwarded_code_ = (call);                                \
        if (forwarded_code_ != RP_OK) {                                       \
            return forwarded_code_;                                           \
        }                                                                     \
    } while (0)

/* An error without findings. Free it with RpError_Clear. */
void RpError_Init(struct rp_error *error);

/* Drops all findings; `error` can be used again. */
void RpError_Clear(struct rp_error *error);

/* Adds a finding and returns `code`. A NULL `error` only returns it. */
enum rp_code RpError_Add(struct rp_error *error, enum rp_code code,
                         const char *place, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

/* How many findings there are. */
size_t RpError_Count(const struct rp_error *error);

/* Finding number `index`, which must exist. */
const struct rp_finding *RpError_Get(const struct rp_error *error,
                                     size_t index);

/* Appends each finding as a line "place: text" to `out`. */
void RpError_Format(const struct rp_error *error, GString *out);

/* The code's stable lower-case name, as used in logs and on the wire. */
const char *RpCode_Name(enum rp_code code);

#endif
