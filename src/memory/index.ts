/**
 * One budget of memory for all that a host holds, from the memory of its machine.
 *
 * @example
 * ```ts
 * import { MemoryBudget } from "./index.js";
 *
 * const budget = new MemoryBudget({ machineBytes: 350_000_000 });
 * console.log(budget.budgetBytes, budget.hasRoomFor("requests", 4_194_304));
 * ```
 *
 * @module
 */
export { concatenate } from "./concatenate.js";
export { copyBeginning } from "./copyBeginning.js";
export { ExpectedMemory } from "./expectedMemory.js";
export { freeBytes } from "./freeBytes.js";
export { GrowingBuffer } from "./growingBuffer.js";
export { HeldMemory } from "./heldMemory.js";
export {
    DEFAULT_MACHINE_BYTES,
    MemoryBudget,
    type MemoryBudgetOptions,
    type MemoryReservation,
    type MemoryUse,
} from "./memoryBudget.js";
export { MemoryWatch, type MemoryWatchOptions } from "./memoryWatch.js";
