/* Collecting and formatting findings. */
#include "rp_error.h"

#include <assert.h>
#include <stdarg.h>

void
RpError_Init(struct rp_error *error)
{
    error->findings = NULL;
}

static void
clear_finding(gpointer data)
{
    struct rp_finding *finding = data;

    g_string_free(finding->place, TRUE);
    g_string_free(finding->text, TRUE);
}

void
RpError_Clear(struct rp_error *error)
{
    if (error->findings) {
        g_array_free(error->findings, TRUE);
    }
    error->findings = NULL;
}

enum rp_code
RpError_Add(struct rp_error *error, enum rp_code code, const char *place,
            const char *format, ...)
{
    assert(code != RP_OK);
    if (!error) {
        return code;
    }
    if (!error->findings) {
        error->findings = g_array_new(FALSE, FALSE, sizeof(struct rp_finding));
        g_array_set_clear_func(error->findings, clear_finding);
    }
    if (error->findings->len == RP_FINDINGS_MAX) {
        struct rp_finding *last = &g_array_index(
            error->findings, struct rp_finding, RP_FINDINGS_MAX - 1);
        g_string_assign(last->place, "findings");
        g_string_assign(last->text, "further ones are left out");
        return code;
    }
    struct rp_finding finding = {.code = code,
                                 .place = g_string_new(place),
                                 .text = g_string_new(NULL)};
    va_list args;
    va_start(args, format);
    g_string_append_vprintf(finding.text, format, args);
    va_end(args);
    g_array_append_val(error->findings, finding);
    return code;
}

size_t
RpError_Count(const struct rp_error *error)
{
    return error->findings ? error->findings->len : 0;
}

const struct rp_finding *
RpError_Get(const struct rp_error *error, size_t index)
{
    assert(index < RpError_Count(error));
    return &g_array_index(error->findings, struct rp_finding, index);
}

void
RpError_Format(const struct rp_error *error, GString *out)
{
    for (size_t i = 0; i < RpError_Count(error); i++) {
        const struct rp_finding *finding = RpError_Get(error, i);
        g_string_append_printf(out, "%s: %s\n", finding->place->str,
                               finding->text->str);
    }
}

const char *
RpCode_Name(enum rp_code code)
{
    static const char *const names[RP_CODE_COUNT] = {
        [RP_OK] = "ok",
        [RP_ERR_SETTING] = "bad_setting",
        [RP_ERR_DOCUMENT] = "bad_document",
        [RP_ERR_CONFLICT] = "conflict",
        [RP_ERR_NOT_FOUND] = "not_found",
        [RP_ERR_FORMAT] = "bad_format",
        [RP_ERR_AUTH] = "not_authenticated",
        [RP_ERR_LIMIT] = "over_limit",
        [RP_ERR_IO] = "io_error",
        [RP_ERR_CORRUPT] = "corrupt_data",
        [RP_ERR_NO_LEADER] = "no_leader",
        [RP_ERR_TIMEOUT] = "timeout",
    };

    return code < RP_CODE_COUNT ? names[code] : "unknown";
}
