/**
 * Roarr makes loggers that drop everything unless this is set before it is
 * loaded; import this module ahead of it.
 */
process.env.ROARR_LOG ??= 'true'
