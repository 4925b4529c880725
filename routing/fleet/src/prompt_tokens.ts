import type {PromptPart} from '@sardinestile/ports';

interface Prompt {
  promptTokens: number;
  promptParts: readonly PromptPart[];
}

/**
 * Returns the parts that other requests may share. The last part is unique to
 * the request.
 */
export function sharedParts({promptParts}: Prompt): readonly PromptPart[] {
  return promptParts.slice(0, -1);
}

/** Returns the number of tokens in a list of parts. */
export function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Returns the tokens of a prompt that no other request shares. */
export function ownTokens(prompt: Prompt): number {
  return Math.max(0, prompt.promptTokens - countTokens(sharedParts(prompt)));
}
