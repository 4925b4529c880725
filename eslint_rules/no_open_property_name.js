import ts from 'typescript';

const MESSAGE =
  'A name that is not known when the code is written, such as `__proto__`, may be inherited or set the prototype. Use a Map; make an object with `Object.fromEntries` where one has to be sent.';

/** Whether values of a type can be any text, rather than some that the code lists. */
function isOpenText(type) {
  if (type.isUnion()) return type.types.some(isOpenText);
  const {String, TemplateLiteral} = ts.TypeFlags;
  return (type.flags & (String | TemplateLiteral)) !== 0;
}

/** Rejects properties of objects whose names are texts of any kind: `object[name]`. */
export const noOpenPropertyName = {
  meta: {type: 'problem', schema: [], messages: {openName: MESSAGE}},
  create(context) {
    const {parserServices} = context.sourceCode;
    return {
      MemberExpression(node) {
        if (!node.computed) return;
        const type = parserServices.getTypeAtLocation(node.property);
        if (isOpenText(type)) context.report({node, messageId: 'openName'});
      },
    };
  },
};
