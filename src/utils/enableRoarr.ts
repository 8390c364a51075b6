/**
 * Enables roarr, whose loggers drop all lines unless this variable is set before
 * the library is loaded. Import this module before roarr.
 */
process.env.ROARR_LOG ??= 'true'
