import {createHash} from 'node:crypto';

const MIN_ANSWER_TOKENS = 8;
/** Answers have fewer than `MIN_ANSWER_TOKENS` plus this number of tokens. */
const ANSWER_TOKENS_SPREAD = 56;

/** An answer that depends only on the prompt. */
export interface DeterministicAnswer {
  tokenCount: number;
  /** Returns the text of the token at an index; each token ends with a space. */
  tokenAt(index: number): string;
}

/** Derives the answer to a prompt; `maxTokens` sets its exact length. */
export function answerPrompt(
  prompt: string,
  maxTokens?: number,
): DeterministicAnswer {
  const digest = createHash('sha256').update(prompt).digest();
  const tag = digest.toString('hex').slice(0, 6);
  const defaultTokenCount =
    MIN_ANSWER_TOKENS + (digest.readUInt32BE(0) % ANSWER_TOKENS_SPREAD);
  return {
    tokenCount: maxTokens ?? defaultTokenCount,
    tokenAt: index => `${tag}-${index} `,
  };
}

/** Counts the tokens in a text that `tokenAt` produced. */
export function countAnswerTokens(text: string): number {
  return text.split(' ').length - 1;
}

/** Removes the answer tokens at the end of a prompt. */
export function stripAnswerTokens(prompt: string): string {
  return prompt.replace(/(?:[0-9a-f]{6}-\d+ )+$/, '');
}
