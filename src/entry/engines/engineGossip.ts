/**
 * What hosts tell each other of engines, as this folder sends it.
 *
 * @module
 */
import {
    type AdapterUseNotice,
    type AdapterWish,
    type ConsentAnswer,
    type ConsentQuestion,
    type EngineMemory,
    type HolderWord,
    type PlannedMove,
} from "../../generated/gossip.js";
import { type VersionCopyNeed } from "../../placement/index.js";

/** Report that a host began or ended using an adapter. */
export type AdapterUseReport = Omit<AdapterUseNotice, "type">;

/** Request for an adapter on an engine. */
export type AdapterRequest = Omit<AdapterWish, "type" | "host">;

/** Sends messages about engines to other hosts. Sends are not awaited, and any message may be lost. */
export interface EngineGossip {
    /** Requests that an engine's holder begin a move. */
    requestMove(holder: string, move: Omit<PlannedMove, "type" | "host">): void;
    /** Publishes an engine's memory to the own cell and to the given hosts. */
    publishEngineMemory(engine: EngineMemory, hosts: readonly string[]): void;
    /** Sends an engine's memory to a host that requested an adapter or a move there. */
    sendEngineMemory(requester: string, engine: EngineMemory): void;
    /** Notifies the previous holder of its successor. */
    notifyPreviousHolder(previousHolder: string, holder: Omit<HolderWord, "type">): void;
    /** Asks hosts of other cells whether this host may go on as a holder while the key-value service does not answer. */
    askForConsent(hosts: readonly string[], question: Omit<ConsentQuestion, "type" | "host">): void;
    /** Answers a host that asked for consent. */
    answerConsentQuestion(asker: string, answer: Omit<ConsentAnswer, "type" | "host">): void;
    /** Requests an adapter from an engine's holder; false where the holder is not known. */
    requestAdapter(holder: string, request: AdapterRequest): boolean;
    /** Asks the planner for a copy of a model at upstreams of a version. */
    requestVersionCopy(planner: string, need: VersionCopyNeed): void;
    /** Reports to an engine's holder that this host began or ended using an adapter. */
    reportAdapterUse(holder: string, use: AdapterUseReport): void;
}
