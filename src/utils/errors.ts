/**
 * Error classes. Expected outcomes (a refusal, a lost connection, a conflict)
 * are values, not errors; what is thrown is either a broken invariant, which
 * stops the process, a mistake in settings, found before anything starts, or
 * the end of a scope, which unwinds the tasks that belong to it.
 */
import ModernError from 'modern-errors'

export const BaseError = ModernError.subclass('BaseError')

/** Something that must always hold does not. The supervisor stops the process. */
export const InvariantError = BaseError.subclass('InvariantError')

/** A setting is missing, unknown or of the wrong type; names file, key and value. */
export const SettingsError = BaseError.subclass('SettingsError')

/** The disk holds damage that must not be repaired by guessing. */
export const StorageError = BaseError.subclass('StorageError')

/** The disk takes no more bytes. Nothing was lost; the same write may be tried again. */
export const DiskFullError = StorageError.subclass('DiskFullError')

/** Thrown into the awaits of a scope when the scope closes. */
export const ScopeClosedError = BaseError.subclass('ScopeClosedError', {
  props: { reason: '' }
})
export type ScopeClosed = InstanceType<typeof ScopeClosedError>

/** Stops the process through the supervisor if the condition does not hold. */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message)
}

/** For the default branch of an exhaustive switch. */
export function unreachable (value: never): never {
  throw new InvariantError(`unreachable variant: ${JSON.stringify(value)}`)
}
