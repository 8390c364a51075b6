/**
 * Log events about the listeners of a process: 930 to 939. Every catalogue includes them.
 */
import { LogLevel, type EventCatalogue } from './eventCatalogue.js'

export enum ListenEvent {
  Waiting = 930,
  Listening = 931,
  AcceptFailed = 932
}

export const listenEventCatalogue: EventCatalogue = {
  [ListenEvent.Waiting]: { level: LogLevel.Warn, text: 'An address cannot be listened on; the program waits for it.', advice: 'EADDRINUSE: find out which process holds the port, for example with ss -ltnp. EADDRNOTAVAIL: the host does not have the address of its settings (yet). EACCES: the port is reserved. The program goes on by itself; see "What a program waits for when it starts" in OPERATIONS.md.' },
  [ListenEvent.Listening]: { level: LogLevel.Info, text: 'An address that the program had waited for is listened on.', advice: 'None.' },
  [ListenEvent.AcceptFailed]: { level: LogLevel.Warn, text: 'A connection could not be accepted; the listener goes on.', advice: 'EMFILE or ENFILE: compare the open descriptors of the process with its limit (maxDescriptorsCount). ENOBUFS or ENOMEM: the machine is short of memory for sockets.' }
}
