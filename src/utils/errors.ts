/**
 * Error classes. Expected outcomes (a refusal, a lost connection, a conflict)
 * are return values, not errors. An error is thrown for a violated invariant,
 * which stops the process, for invalid settings, which are detected before
 * anything starts, and for a closed scope, which unwinds the scope's tasks.
 */
import ModernError from 'modern-errors'

export const BaseError = ModernError.subclass('BaseError')

/** An invariant is violated. The supervisor stops the process. */
export const InvariantError = BaseError.subclass('InvariantError')

/** A setting is missing, unknown or invalid; the message names file, key and value. */
export const SettingsError = BaseError.subclass('SettingsError')

/** Stored data is damaged in a way that cannot be repaired safely. */
export const StorageError = BaseError.subclass('StorageError')

/** The disk is full. No data was lost; the same write can be retried. */
export const DiskFullError = StorageError.subclass('DiskFullError')

/** The operating system refused an operation on a disk. A program that starts can wait until it succeeds; a running replica does not know what reached the disk. */
export const DiskUnusableError = StorageError.subclass('DiskUnusableError')

/** Rejects every pending wait of a scope when the scope closes. */
export const ScopeClosedError = BaseError.subclass('ScopeClosedError', {
  props: { reason: '' }
})
export type ScopeClosed = InstanceType<typeof ScopeClosedError>

/** Throws if the condition does not hold; the supervisor then stops the process. */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message)
}

/** For the default branch of an exhaustive switch. */
export function unreachable (value: never): never {
  throw new InvariantError(`unreachable variant: ${JSON.stringify(value)}`)
}
