/**
 * When memory is so short that what is past its deadline is given up.
 *
 * @module
 */
import { type MemoryBudget } from "../../memory/index.js";

/** Memory is short where a request's body of this size finds no room. */
const BODY_ROOM_BYTES = 4 * 1024 * 1024;

/** Interval at which what is past its deadline is looked at again. */
export const MEMORY_CHECK_MILLISECONDS = 500;

/** Returns whether memory is short. */
export function isMemoryShort(memory: MemoryBudget): boolean {
    return !memory.hasRoomFor("requests", BODY_ROOM_BYTES);
}
